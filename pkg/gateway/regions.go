package gateway

import (
	"maps"
	"slices"
	"time"
)

// noRegionRetryDelay is the Retry-After of a request that no region may serve: only a new
// configuration changes that, and configurations change every few seconds at most.
const noRegionRetryDelay = 5 * time.Second

// allowedZones returns the availability zones whose region is in every given list; an empty
// list allows all regions. If all lists are empty, zones is nil, which means any. served is
// false if no zone is allowed.
func (s *Settings) allowedZones(homes ...[]string) (zones []string, served bool) {
	homes = slices.DeleteFunc(homes, func(regions []string) bool { return len(regions) == 0 })
	if len(homes) == 0 {
		return nil, true
	}
	for _, zone := range slices.Sorted(maps.Keys(s.Regions)) {
		outside := slices.ContainsFunc(homes, func(regions []string) bool {
			return !slices.Contains(regions, s.Regions[zone])
		})
		if !outside {
			zones = append(zones, zone)
		}
	}
	return zones, len(zones) > 0
}
