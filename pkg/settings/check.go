package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"sort"
	"strings"
)

// checker collects the problems that are found in settings.
type checker struct {
	problems []*Problem
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if ok {
		return
	}
	c.problems = append(c.problems, &Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) requireAddress(path, value string, optional bool) {
	if value == "" && optional {
		return
	}
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, path, "%q is no IP address with a port, such as 127.0.0.1:8080", value)
}

func (c *checker) requireAtLeast(path string, value, minimum int) {
	c.require(value >= minimum, path, "is %d, must be at least %d", value, minimum)
}

func (c *checker) requirePositive(path string, value Duration) {
	c.require(value.Duration > 0, path, "must be a duration above 0")
}

func checkBox(box *Box) []*Problem {
	c := &checker{}
	c.require(box.Name != "", "Name", "must be given: the box's own name")
	c.require(box.Zone != "", "Zone", "must be given: the box's availability zone")
	c.requireAddress("CallerAddress", box.CallerAddress, false)
	c.requireAddress("OperatorAddress", box.OperatorAddress, false)
	c.requireAddress("PeerAddress", box.PeerAddress, false)
	for _, name := range sortedKeys(box.Peers) {
		c.requireAddress("Peers."+name+".Address", box.Peers[name].Address, false)
	}
	c.requireAddress("Platform.Address", box.Platform.Address, true)
	c.requirePositive("Platform.Timeout", box.Platform.Timeout)
	c.requirePositive("Platform.HeadInterval", box.Platform.HeadInterval)
	c.requirePositive("Platform.BoxListInterval", box.Platform.BoxListInterval)
	checkTLS(c, &box.TLS)
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	c.require(levels[box.Log.Level], "Log.Level", "%q is none of debug, info, warn, error", box.Log.Level)
	checkLimits(c, &box.Limits)
	c.requirePositive("Exchange.Interval", box.Exchange.Interval)
	c.requirePositive("Exchange.DialTimeout", box.Exchange.DialTimeout)
	c.require(box.Exchange.Heartbeat.Duration >= box.Exchange.Interval.Duration,
		"Exchange.Heartbeat", "must be at least Exchange.Interval")
	c.require(box.Exchange.Lapse.Duration > box.Exchange.Heartbeat.Duration,
		"Exchange.Lapse", "must be longer than Exchange.Heartbeat")
	return c.problems
}

func checkTLS(c *checker, files *TLS) {
	c.require((files.CertificateFile == "") == (files.KeyFile == ""),
		"TLS.CertificateFile", "CertificateFile and KeyFile go together")
	given := 0
	for _, file := range []string{files.PeerCertificateFile, files.PeerKeyFile, files.PeerAuthorityFile} {
		if file != "" {
			given++
		}
	}
	c.require(given == 0 || given == 3, "TLS.PeerCertificateFile",
		"PeerCertificateFile, PeerKeyFile and PeerAuthorityFile go together")
}

func checkLimits(c *checker, limits *Limits) {
	c.requireAtLeast("Limits.HeaderBytes", limits.HeaderBytes, 1024)
	c.requireAtLeast("Limits.BodyBytes", limits.BodyBytes, 1024)
	c.requireAtLeast("Limits.AnswerBytes", limits.AnswerBytes, 1024)
	c.requireAtLeast("Limits.Connections", limits.Connections, 1)
	c.requireAtLeast("Limits.ConnectionsPerIP", limits.ConnectionsPerIP, 0)
	c.requirePositive("Limits.ReadTimeout", limits.ReadTimeout)
	c.requirePositive("Limits.WriteTimeout", limits.WriteTimeout)
	c.requirePositive("Limits.IdleTimeout", limits.IdleTimeout)
	c.requirePositive("Limits.RequestTimeout", limits.RequestTimeout)
	c.requirePositive("Limits.DrainTimeout", limits.DrainTimeout)
}

func checkFleet(fleet *Fleet) []*Problem {
	c := &checker{}
	for _, name := range sortedKeys(fleet.Classes) {
		class := fleet.Classes[name]
		c.requireAtLeast("Classes."+name+".MaxOutputTokens", class.MaxOutputTokens, 0)
	}
	checkCustomers(c, fleet)
	checkPools(c, fleet)
	return c.problems
}

func checkCustomers(c *checker, fleet *Fleet) {
	owners := map[string]string{}
	for _, name := range sortedKeys(fleet.Customers) {
		customer := fleet.Customers[name]
		path := "Customers." + name
		c.require(customer.Share > 0, path+".Share", "is %v, must be above 0", customer.Share)
		c.requireAtLeast(path+".QueueLength", customer.QueueLength, 1)
		c.require(customer.Unsettled > 0, path+".Unsettled", "is %v, must be above 0", customer.Unsettled)
		for _, hash := range customer.KeyHashes {
			raw, err := hex.DecodeString(hash)
			c.require(err == nil && len(raw) == 32, path+".KeyHashes",
				"an entry is no SHA-256 hash in 64 hex digits")
			other, taken := owners[hash]
			c.require(!taken, path+".KeyHashes", "a key is also that of customer %s", other)
			owners[hash] = name
		}
		for _, pool := range customer.Pools {
			_, known := fleet.Pools[pool]
			c.require(known, path+".Pools", "there is no pool %q", pool)
		}
	}
}

func checkPools(c *checker, fleet *Fleet) {
	models := map[string]string{}
	for _, name := range sortedKeys(fleet.Pools) {
		pool := fleet.Pools[name]
		path := "Pools." + name
		checkPool(c, path, &pool)
		for _, model := range pool.Models {
			other, taken := models[model]
			c.require(!taken, path+".Models", "model %q is also in pool %s", model, other)
			models[model] = name
		}
		for _, endpointName := range sortedKeys(pool.Endpoints) {
			endpoint := pool.Endpoints[endpointName]
			endpointPath := path + ".Endpoints." + endpointName
			c.requireAddress(endpointPath+".Address", endpoint.Address, false)
			c.requireAtLeast(endpointPath+".Slots", endpoint.Slots, 1)
			c.require(endpoint.Slots > pool.QuickSlots, endpointPath+".Slots",
				"is %d, must be above the pool's QuickSlots (%d)", endpoint.Slots, pool.QuickSlots)
		}
	}
}

func checkPool(c *checker, path string, pool *Pool) {
	switch pool.Kind {
	case ModelPool:
		c.require(len(pool.Models) > 0, path+".Models", "a model pool names its models")
	case PlainPool:
		c.require(len(pool.Paths) > 0, path+".Paths", "a plain pool names its path prefixes")
	default:
		c.require(false, path+".Kind", "%q is none of model, plain", pool.Kind)
	}
	orders := map[OrderPolicy]bool{ShareOrder: true, ArrivalOrder: true}
	c.require(orders[pool.Order], path+".Order", "%q is none of share, arrival", pool.Order)
	policies := map[SlotPolicy]bool{FixedSlots: true, BacklogSlots: true, SlackSlots: true}
	c.require(policies[pool.SlotPolicy], path+".SlotPolicy", "%q is none of fixed, backlog, slack", pool.SlotPolicy)
	c.require(pool.InputWeight >= 0, path+".InputWeight", "must not be negative")
	c.require(pool.OutputWeight > 0, path+".OutputWeight", "must be above 0")
	c.require(pool.MergeBound >= 0, path+".MergeBound", "must not be negative")
	c.requireAtLeast(path+".Slack", pool.Slack, 1)
	c.requireAtLeast(path+".QuickSlots", pool.QuickSlots, 0)
	c.requireAtLeast(path+".EjectAfter", pool.EjectAfter, 1)
	c.require(pool.RetryBudget >= 0 && pool.RetryBudget <= 1, path+".RetryBudget", "must lie between 0 and 1")
	c.requirePositive(path+".ReportInterval", pool.ReportInterval)
	c.requirePositive(path+".ConnectTimeout", pool.ConnectTimeout)
	c.requirePositive(path+".StallTimeout", pool.StallTimeout)
	c.requirePositive(path+".EjectFor", pool.EjectFor)
	c.requirePositive(path+".OutcomeRetention", pool.OutcomeRetention)
	for _, rule := range pool.NotRepeatable {
		_, prefix, found := strings.Cut(rule, " ")
		c.require(found && strings.HasPrefix(prefix, "/"), path+".NotRepeatable",
			"%q is no method and path prefix, such as \"POST /bookings\"", rule)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
