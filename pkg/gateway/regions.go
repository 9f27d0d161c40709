package gateway

import (
	"maps"
	"slices"
	"time"
)

// comeBackNowhere is told where a request may be served nowhere: only another configuration
// changes that, and those come every few seconds at most.
const noRegionRetryDelay = 5 * time.Second

// homeZones are the availability zones that lie in each of some lists of regions, of which
// an empty one names all; no zones means any. Served is false where none does.
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
