package gateway

import (
	"maps"
	"slices"
	"time"
)

// noRegionRetryDelay is the Retry-After of a request that no region may serve. Only a new
// configuration changes that, and the configuration changes every few seconds at most.
const noRegionRetryDelay = 5 * time.Second

// allowedZones returns the availability zones whose region is in every given list; an empty
// list allows all regions. If all lists are empty, zones is nil, which means any. allowed is
// false if no zone is.
func (s *Settings) allowedZones(regionLists ...[]string) (zones []string, allowed bool) {
	regionLists = slices.DeleteFunc(regionLists, func(regions []string) bool { return len(regions) == 0 })
	if len(regionLists) == 0 {
		return nil, true
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Regions)) {
		outside := slices.ContainsFunc(regionLists, func(allowed []string) bool {
			return !slices.Contains(allowed, s.Regions[zone])
		})
		if !outside {
			zones = append(zones, zone)
		}
	}
	return zones, len(zones) > 0
}
