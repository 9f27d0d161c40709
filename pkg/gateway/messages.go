package gateway

import (
	"time"

	"github.com/quaylead/quaylead/pkg/dispatch"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/peer"
	"github.com/quaylead/quaylead/pkg/peer/peerpb"
	"github.com/quaylead/quaylead/pkg/rollout"
)

// encodeRequest encodes a request that waits or, with an endpoint, runs there.
func encodeRequest(req *dispatch.Request, endpoint string, begun bool) *peerpb.Call {
	now := time.Now()
	message := &peerpb.Ask{
		ID:         req.ID,
		Customer:   req.Customer,
		Route:      req.Route,
		MaxOutput:  uint32(req.MaxOutput),
		HintOutput: uint32(req.HintOutput),
		Age:        now.Sub(req.Arrived).Microseconds(),
		Aim:        req.LatencyTarget.Microseconds(),
		Remaining:  req.Deadline.Sub(now).Microseconds(),
		Excluded:   req.Excluded,
		Endpoint:   endpoint,
		Begun:      begun,
		Zones:      req.Zones,
		Size:       uint32(req.Size),
		GapTarget:  req.GapTarget.Microseconds(),

		Release:       req.Releases.Version,
		OtherReleases: req.Releases.Others,
		ExactRelease:  req.Releases.Exact,

		Box:              req.BoxHash,
		AskedElsewhere:   uint64(req.OtherGroupUsage.Requested),
		GrantedElsewhere: uint64(req.OtherGroupUsage.Granted),
	}
	if !req.Fingerprint.IsZero() {
		message.Fingerprint = req.Fingerprint[:]
	}
	for _, part := range req.Parts {
		message.PartIDs = append(message.PartIDs, part.ID)
		message.PartTokens = append(message.PartTokens, uint32(part.Tokens))
	}
	return &peerpb.Call{Kind: &peerpb.Call_Ask{Ask: message}}
}

// decodeRequest is the inverse of encodeRequest.
func decodeRequest(message *peerpb.Ask, streamNumber uint64, now time.Time) *dispatch.Request {
	req := &dispatch.Request{
		ID:       message.ID,
		Customer: message.Customer,
		Route:    message.Route,
		Prompt: dispatch.Prompt{
			MaxOutput:  int(message.MaxOutput),
			HintOutput: int(message.HintOutput),
		},
		Stream:        streamNumber,
		Arrived:       now.Add(-time.Duration(message.Age) * time.Microsecond),
		LatencyTarget: time.Duration(message.Aim) * time.Microsecond,
		Deadline:      now.Add(time.Duration(message.Remaining) * time.Microsecond),
		Excluded:      message.Excluded,
		Zones:         message.Zones,
		Size:          int(message.Size),
		GapTarget:     time.Duration(message.GapTarget) * time.Microsecond,
		Releases:      rollout.VersionFilter{Version: message.Release, Others: message.OtherReleases, Exact: message.ExactRelease},
		BoxHash:       message.Box,

		OtherGroupUsage: dispatch.OtherGroupUsage{Requested: float64(message.AskedElsewhere), Granted: float64(message.GrantedElsewhere)},
		Fingerprint:     peer.DecodeFingerprint(message.Fingerprint),
	}
	req.Parts = decodeParts(message.PartIDs, message.PartTokens)
	return req
}

func decodeParts(ids []uint64, tokens []uint32) (parts []dispatch.Part) {
	for i, id := range ids {
		if i < len(tokens) {
			parts = append(parts, dispatch.Part{ID: id, Tokens: int(tokens[i])})
		}
	}
	return parts
}

func encodeCachedParts(cached dispatch.CachedParts) *peerpb.Call {
	message := &peerpb.Kept{Endpoint: cached.Endpoint, Born: cached.Born, Rate: uint32(cached.Rate)}
	for _, part := range cached.Parts {
		message.PartIDs = append(message.PartIDs, part.ID)
		message.PartTokens = append(message.PartTokens, uint32(part.Tokens))
	}
	return &peerpb.Call{Kind: &peerpb.Call_Kept{Kept: message}}
}

func encodeRest(rest lifecycle.Rest, now time.Time) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Rest{Rest: &peerpb.Rest{
		Endpoint: rest.Endpoint,
		Born:     rest.Born,
		For:      rest.Until.Sub(now).Microseconds(),
	}}}
}

// decodeRest is the inverse of encodeRest.
func decodeRest(message *peerpb.Rest, now time.Time) lifecycle.Rest {
	length := time.Duration(message.For) * time.Microsecond
	return lifecycle.Rest{
		Endpoint: message.Endpoint,
		Born:     message.Born,
		Until:    now.Add(min(length, lifecycle.MaxRest)),
	}
}

func encodeGrantTotal(s dispatch.GrantTotal) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Served{Served: &peerpb.Served{
		Customer: s.Customer,
		Route:    s.Route,
		Tokens:   uint64(s.Tokens),
	}}}
}

func encodeBegin(id string) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Begin{Begin: id}}
}

func encodeWithdraw(id string) *peerpb.Call {
	return &peerpb.Call{Kind: &peerpb.Call_Withdraw{Withdraw: id}}
}

func encodeOutcome(id string, result dispatch.Outcome) *peerpb.Call {
	end := &peerpb.End{ID: id}
	switch how := result.(type) {
	case dispatch.Done:
		end.How = peerpb.End_DONE
	case dispatch.Unused:
		end.How = peerpb.End_UNUSED
	case dispatch.NotRun:
		end.How = peerpb.End_NOT_RUN
	case dispatch.Unreachable:
		end.How = peerpb.End_UNREACHABLE
	case dispatch.Broken:
		end.How = peerpb.End_BROKEN
	case dispatch.Ended:
		end.How = peerpb.End_ENDED
		end.Ended = peer.EncodeEnd(&how.End)
	}
	return &peerpb.Call{Kind: &peerpb.Call_End{End: end}}
}

func decodeOutcome(end *peerpb.End) dispatch.Outcome {
	switch end.How {
	case peerpb.End_UNUSED:
		return dispatch.Unused{}
	case peerpb.End_NOT_RUN:
		return dispatch.NotRun{}
	case peerpb.End_UNREACHABLE:
		return dispatch.Unreachable{}
	case peerpb.End_BROKEN:
		return dispatch.Broken{}
	case peerpb.End_ENDED:
		return decodeEnded(end.Ended)
	default:
		return dispatch.Done{}
	}
}

// decodeEnded returns Broken if the end can not be decoded.
func decodeEnded(message *peerpb.EndpointEnd) dispatch.Outcome {
	if message == nil {
		return dispatch.Broken{}
	}
	ends := peer.DecodeEnds([]*peerpb.EndpointEnd{message})
	if len(ends) == 0 {
		return dispatch.Broken{}
	}
	return dispatch.Ended{End: ends[0]}
}

func encodeVerdict(id string, v verdict) *peerpb.Verdict {
	return &peerpb.Verdict{
		ID:         id,
		Endpoint:   v.endpoint,
		RetryAfter: v.retryAfter.Microseconds(),
		Over:       v.overShare,
		Waiting:    uint32(v.waiting),
		Wait:       v.wait.Microseconds(),
		Read:       v.readTime.Microseconds(),
		Missing:    uint32(v.missingTokens),
		Resting:    v.noEligibleEngine,
		FetchFrom:  v.fetchFrom,
		Rate:       uint32(v.rate),
	}
}

// decodeVerdict is the inverse of encodeVerdict.
func decodeVerdict(message *peerpb.Verdict) verdict {
	return verdict{
		endpoint:         message.Endpoint,
		retryAfter:       time.Duration(message.RetryAfter) * time.Microsecond,
		overShare:        message.Over,
		waiting:          int(message.Waiting),
		wait:             time.Duration(message.Wait) * time.Microsecond,
		readTime:         time.Duration(message.Read) * time.Microsecond,
		missingTokens:    int(message.Missing),
		noEligibleEngine: message.Resting,
		fetchFrom:        message.FetchFrom,
		rate:             float64(message.Rate),
	}
}
