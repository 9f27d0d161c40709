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

// view holds the settings in force, indexed for look-ups. It is replaced whole and
// never modified, so a request keeps the view it began with.
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
	// classes are the classes' names and limits, lowest limit first.
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

// defaultClass is the class of a request that no other class applies to.
const defaultClass = "default"

// newView builds the look-ups from checked settings.
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
			// The check of the settings has verified that the text is a hash.
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

// identify returns the customer whose key is in an Authorization header.
func (v *view) identify(header []byte) (string, *request.Refusal) {
	key, found := bytes.CutPrefix(header, bearerPrefix)
	if found {
		// The look-up uses a SHA-256 hash, so its timing reveals nothing about the
		// key; the comparison takes constant time nevertheless.
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

// poolForPath returns the plain pool of a path.
func (v *view) poolForPath(path string) (string, bool) {
	for _, rule := range v.paths {
		if strings.HasPrefix(path, rule.prefix) {
			return rule.pool, true
		}
	}
	return "", false
}

// canUsePool reports whether a customer may use a pool.
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

// classify returns the class of a request: the one it names, or the one with the
// lowest limit that its own output limit does not exceed.
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

// isRepeatable reports whether a call to a plain pool may be sent more than once.
func isRepeatable(rules *settings.Pool, method, path string) bool {
	for _, rule := range rules.NotRepeatable {
		ruleMethod, prefix, _ := strings.Cut(rule, " ")
		if ruleMethod == method && strings.HasPrefix(path, prefix) {
			return false
		}
	}
	return true
}
