package caller

import (
	"net/url"
	"strings"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// Path returns the path and query of a call of an operation with a key, as the service's key source
// wants it. Keys in headers are not supported by Client.
func Path(service *conf.Service, operation conf.Operation, key string) string {
	path := "/" + string(service.ID) + strings.TrimSuffix(operation.Prefix, "/")
	switch source := service.Key.(type) {
	case conf.SegmentKey:
		used := strings.Count(operation.Prefix, "/")
		for i := used + 1; i < source.Index; i++ {
			path += "/x"
		}
		return path + "/" + url.PathEscape(key)
	case conf.QueryKey:
		return path + "?" + url.QueryEscape(source.Name) + "=" + url.QueryEscape(key)
	case conf.HeaderKey, nil:
	}
	return path + "/" + url.PathEscape(key)
}
