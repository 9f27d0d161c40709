package dispatch

import (
	"bytes"
	"time"

	"github.com/quaylead/quaylead/pkg/quarantine"
)

// releasePartKeys are the fingerprints of the shared parts of a prompt at one release, in their order.
type releasePartKeys struct {
	release string
	keys    []quarantine.Fingerprint
}

// partKeysAt returns the fingerprints of the shared parts of a request's prompt at a release.
func (p *Pool) partKeysAt(req *Request, release string) []quarantine.Fingerprint {
	for i := range req.partKeys {
		if req.partKeys[i].release == release {
			return req.partKeys[i].keys
		}
	}
	keys := PartKeys(p.service.Name, release, req.Customer, &req.Prompt)
	req.partKeys = append(req.partKeys, releasePartKeys{release, keys})
	return keys
}

// PartKeys returns the fingerprints of the shared parts of a prompt.
func PartKeys(service, release, customer string, prompt *Prompt) []quarantine.Fingerprint {
	shared := prompt.Shared()
	keys := make([]quarantine.Fingerprint, len(shared))
	for i, part := range shared {
		keys[i] = quarantine.PartFingerprint(service, release, customer, part.ID)
	}
	return keys
}

// partExposures are the engines at which requests with a part run that have no event yet, by the
// fingerprint of the part. They are found when needed, which is seldom.
type partExposures struct {
	exposed map[quarantine.Fingerprint]exposure
	// round is the round for which they hold, and grants the number of grants then.
	exposedRound  uint64
	exposedGrants int
}

func (p *Pool) partExposure(key quarantine.Fingerprint) exposure {
	if p.exposed == nil || p.exposedRound != p.round || p.exposedGrants != len(p.grants) {
		p.exposed = map[quarantine.Fingerprint]exposure{}
		p.exposedRound, p.exposedGrants = p.round, len(p.grants)
		for _, g := range p.grants {
			if g.begun {
				continue
			}
			for _, k := range p.partKeysAt(g.req, g.engine.Release) {
				if p.exposed[k] == nil {
					p.exposed[k] = exposure{}
				}
				p.exposed[k][g.engine]++
			}
		}
	}
	return p.exposed[key]
}

// partScope is the set of engines of one release to which a request may go, so that few engines end
// under a part of its prompt: as many at once as may still end before the part is quarantined.
type partScope struct {
	// none is set if the request may go to none of them.
	none bool
	// trial, if set, is the only engine that it may go to.
	trial *engine
	// limits are sets of engines of which each includes those that it may go to.
	limits []exposure
}

func (s partScope) includes(e *engine) bool {
	if s.none || (s.trial != nil && s.trial != e) {
		return false
	}
	for _, limit := range s.limits {
		if limit[e] == 0 {
			return false
		}
	}
	return true
}

// partScopes returns the scopes of a request by release; nil if no engine ended under its parts.
func (p *Pool) partScopes(req *Request, now time.Time) (scopes map[string]partScope) {
	if !p.Ledger.HasParts() {
		return nil
	}
	limited := false
	scopes = map[string]partScope{}
	for _, release := range p.releasesFor(req) {
		scope, isLimited := p.partScope(req, release, now)
		scopes[release] = scope
		limited = limited || isLimited
	}
	if !limited {
		return nil
	}
	return scopes
}

// partScope returns the scope of a request at the engines of a release, and whether it is limited.
func (p *Pool) partScope(req *Request, release string, now time.Time) (scope partScope, limited bool) {
	keys, statuses := p.partStatuses(req, release, now)
	var trial quarantine.Fingerprint
	trialEnds := 0
	for i, status := range statuses {
		if status.Ends == 0 {
			continue
		}
		running, others := p.partExposure(keys[i]), p.exposedElsewhere(req, release, i)
		switch isTrial := status.Ends >= quarantine.MaxPartEnds; {
		case status.IsQuarantined() || (isTrial && len(running)+others > 0):
			return partScope{none: true}, true
		case isTrial:
			// Of several parts one decides, the same at all boxes, so that they agree on the engine.
			if trialEnds == 0 || bytes.Compare(keys[i][:], trial[:]) < 0 {
				trial, trialEnds = keys[i], status.Ends
			}
		case len(running)+others >= status.Allowed:
			scope.limits = append(scope.limits, running)
		}
	}
	if trialEnds > 0 {
		scope.trial = p.preferredEngine(req, trial, trialEnds, now)
		scope.none = scope.trial == nil
	}
	return scope, scope.none || trialEnds > 0 || len(scope.limits) > 0
}

// partStatuses returns the fingerprints of a request's parts at a release, and what may be done there.
func (p *Pool) partStatuses(req *Request, release string, now time.Time) ([]quarantine.Fingerprint, []quarantine.Status) {
	var elsewhere [][]quarantine.Fingerprint
	for _, other := range p.releases {
		if other != release {
			elsewhere = append(elsewhere, p.partKeysAt(req, other))
		}
	}
	keys := p.partKeysAt(req, release)
	return keys, p.Ledger.CheckParts(keys, elsewhere, now)
}

// exposedElsewhere counts the engines of other releases at which requests with a part run that have no
// event yet.
func (p *Pool) exposedElsewhere(req *Request, release string, part int) (count int) {
	for _, other := range p.releases {
		if other != release {
			count += len(p.partExposure(p.partKeysAt(req, other)[part]))
		}
	}
	return count
}

// releasesFor returns the releases of the engines to which a request may go.
func (p *Pool) releasesFor(req *Request) (releases []string) {
	for _, release := range p.releases {
		if req.Releases.Admits(release) {
			releases = append(releases, release)
		}
	}
	return releases
}

// hasQuarantinedPart reports whether a part of a request's prompt is quarantined at all releases to
// which it may go.
func (p *Pool) hasQuarantinedPart(req *Request, now time.Time) bool {
	if !p.Ledger.HasQuarantinedParts() && (!p.severalReleases() || !p.Ledger.HasParts()) {
		return false
	}
	releases := p.releasesFor(req)
	for _, release := range releases {
		_, statuses := p.partStatuses(req, release, now)
		if _, found := quarantine.FirstQuarantined(statuses); !found {
			return false
		}
	}
	return len(releases) > 0
}

// recordPartEnds records the end of an engine under the parts of a request that it ended without an
// event. The request's router records the same; here it counts before the next decision.
func (p *Pool) recordPartEnds(g *grant, ended Ended, now time.Time) {
	if g.begun || ended.End.Version%2 == 0 {
		return
	}
	var ends []quarantine.End
	for _, key := range p.partKeysAt(g.req, g.engine.Release) {
		ends = append(ends, quarantine.End{Fingerprint: key, Instance: ended.End.Instance, Version: 1, Age: ended.End.Age})
	}
	p.Ledger.Merge(ends, "", now)
}
