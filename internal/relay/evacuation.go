package relay

import (
	"errors"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/view"
)

// evacuationShare is the fraction of Bounds.EvacuationTime during which an owner of keys in an evacuated failure domain
// still receives requests, from the latest time at which the domain was known not to be evacuated. The rest covers the way
// of a request to the server.
const evacuationShare = 0.8

// errEvacuated is the error of an attempt that was not sent because the failure domain of the server is evacuated.
var errEvacuated = errors.New("the failure domain of the server is evacuated")

// evacuated reports whether a server receives no requests because its failure domain is evacuated. An owner of keys
// receives some until its keys have had time to move.
func (s *service) evacuated(now time.Time, v *view.View, b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEvacuated(now, v, b)
}

// isEvacuated is evacuated for a caller that holds the lock.
func (s *service) isEvacuated(now time.Time, v *view.View, b *backend) bool {
	since, evacuated := v.Evacuated[b.server.FailureDomain]
	if !evacuated || !s.config.Partitioned {
		return evacuated
	}
	return now.Sub(since) > time.Duration(float64(s.bounds.EvacuationTime)*evacuationShare)
}

// anyEvacuated reports whether a listed server of the service is in an evacuated failure domain.
func (s *service) anyEvacuated(v *view.View) bool {
	evacuated, _ := s.countEvacuated(v)
	return evacuated > 0
}

// allEvacuated reports whether the service has servers, and all of them are in evacuated failure domains.
func (s *service) allEvacuated(v *view.View) bool {
	evacuated, listed := s.countEvacuated(v)
	return evacuated > 0 && evacuated == listed
}

// countEvacuated returns the number of listed servers in evacuated failure domains, and of all listed servers.
func (s *service) countEvacuated(v *view.View) (evacuated, listed int) {
	for _, server := range v.Services[s.id] {
		if _, ok := v.Evacuated[server.FailureDomain]; ok {
			evacuated++
		}
	}
	return evacuated, len(v.Services[s.id])
}

// withoutOwner returns the reason why the key of a request has no owner that takes requests.
func (x *exchange) withoutOwner() Reason {
	v := x.relay.options.Views.Load()
	row, ok := v.Tables[x.service.id].Lookup(x.requestMeta.Key)
	if !ok || !row.Open {
		return ReasonNoOwner
	}
	b := x.service.backend(row.Owner.Server, row.Owner.Address)
	if b != nil && x.service.evacuated(x.relay.options.Clock.Now(), v, b) {
		return ReasonEvacuated
	}
	return ReasonNoOwner
}
