package caller

import (
	"net/url"
	"strings"

	"github.com/samphiredrum/samphiredrum/internal/conf"
)

// Path returns the path and query of a call to an operation, with the key where the service's key
// source expects it. Client does not support keys in headers.
func Path(service *conf.Service, operation conf.Operation, key string) string {
	path := "/" + string(service.ID) + strings.TrimSuffix(operation.Prefix, "/")
	switch source := service.Key.(type) {
	case conf.SegmentKey:
		prefixSegments := strings.Count(operation.Prefix, "/")
		for i := prefixSegments + 1; i < source.Index; i++ {
			path += "/x"
		}
		return path + "/" + url.PathEscape(key)
	case conf.QueryKey:
		return path + "?" + url.QueryEscape(source.Name) + "=" + url.QueryEscape(key)
	case conf.HeaderKey, nil:
	}
	return path + "/" + url.PathEscape(key)
}
