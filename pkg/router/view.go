package router

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"github.com/quaylead/quaylead/pkg/request"
	"github.com/quaylead/quaylead/pkg/settings"
)

// view is the settings in force, ready for look-ups. It is replaced whole and
// never changed, so a request keeps the view it began with.
type view struct {
	revision uint64
	snapshot []byte
	fleet    *settings.Fleet
	// since is when the settings came into force at this box.
	since time.Time
	// keys maps the hash of a bearer key to its customer.
	keys map[[sha256.Size]byte]keyEntry
	// models maps a model name to its pool.
	models map[string]string
	// paths are the path prefixes of plain pools, longest first.
	paths []pathRule
	// classes are the quick classes' names and limits, tightest limit first.
	classes []classRule
}

type keyEntry struct {
	hash     [sha256.Size]byte
	customer string
}

type pathRule struct {
	prefix string
	pool   string
}

type classRule struct {
	name string
	settings.Class
}

// defaultClass is the class of a request that falls in no other.
const defaultClass = "default"

// newView makes look-ups of checked settings.
func newView(revision uint64, snapshot []byte, fleet *settings.Fleet) *view {
	v := &view{
		revision: revision,
		snapshot: snapshot,
		fleet:    fleet,
		since:    time.Now(),
		keys:     map[[sha256.Size]byte]keyEntry{},
		models:   map[string]string{},
	}
	for name, customer := range fleet.Customers {
		for _, text := range customer.KeyHashes {
			var hash [sha256.Size]byte
			// The settings' check has proved that the text is such a hash.
			_, _ = hex.Decode(hash[:], []byte(text))
			v.keys[hash] = keyEntry{hash: hash, customer: name}
		}
	}
	for name, pool := range fleet.Pools {
		for _, model := range pool.Models {
			v.models[model] = name
		}
		for _, prefix := range pool.Paths {
			v.paths = append(v.paths, pathRule{prefix: prefix, pool: name})
		}
	}
	sort.Slice(v.paths, func(i, j int) bool { return len(v.paths[i].prefix) > len(v.paths[j].prefix) })
	for name, class := range fleet.Classes {
		v.classes = append(v.classes, classRule{name: name, Class: class})
	}
	sort.Slice(v.classes, func(i, j int) bool {
		return v.classes[i].MaxOutputTokens < v.classes[j].MaxOutputTokens
	})
	return v
}

var bearerPrefix = []byte("Bearer ")

// identify finds the customer of an Authorization header.
func (v *view) identify(header []byte) (string, *request.Refusal) {
	key, found := bytes.CutPrefix(header, bearerPrefix)
	if found {
		// The look-up works on a SHA-256 hash, whose time tells nothing of the
		// key; the comparison within it is of constant time all the same.
		hash := sha256.Sum256(bytes.TrimSpace(key))
		if entry, ok := v.keys[hash]; ok && subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			return entry.customer, nil
		}
	}
	return "", &request.Refusal{
		Code:    request.InvalidKey,
		Message: "a valid bearer key is needed",
		Run:     request.NotRun,
	}
}

// poolOfPath finds the plain pool of a path.
func (v *view) poolForPath(path string) (string, bool) {
	for _, rule := range v.paths {
		if strings.HasPrefix(path, rule.prefix) {
			return rule.pool, true
		}
	}
	return "", false
}

// allowed tells whether a customer may use a pool.
func (v *view) canUsePool(customer, pool string) bool {
	pools := v.fleet.Customers[customer].Pools
	if len(pools) == 0 {
		return true
	}
	for _, name := range pools {
		if name == pool {
			return true
		}
	}
	return false
}

// classify finds the class of a request: the one it names, or the tightest one
// whose limit its own output limit is within.
func (v *view) classify(className string, maxOutputTokens int) (name string, quick bool) {
	if class, ok := v.fleet.Classes[className]; ok {
		return className, class.Quick
	}
	for _, rule := range v.classes {
		if maxOutputTokens > 0 && maxOutputTokens <= rule.MaxOutputTokens {
			return rule.name, rule.Quick
		}
	}
	return defaultClass, false
}

// mayRepeat tells whether a call to a plain pool may be sent more than once.
func isRepeatable(rules *settings.Pool, method, path string) bool {
	for _, rule := range rules.NotRepeatable {
		ruleMethod, prefix, _ := strings.Cut(rule, " ")
		if ruleMethod == method && strings.HasPrefix(path, prefix) {
			return false
		}
	}
	return true
}
