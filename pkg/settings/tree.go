package settings

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// branch is the schema of one file of the tree. It is used to check the file
// by itself; files are merged as generic tables, in which "not set" and "set to
// zero" differ.
type branch struct {
	Defaults  Defaults
	Classes   map[string]classEntry
	Customers map[string]customerEntry
	Pools     map[string]poolEntry
}

type classEntry struct {
	Class
	Removal
}

type customerEntry struct {
	Customer
	Removal
}

type poolEntry struct {
	Pool
	Removal
}

// Removal is embedded in entries that a deeper branch may delete.
type Removal struct {
	// Delete removes the entry; its other keys are ignored.
	Delete bool
}

type table = map[string]any

// source is one file of the tree with the lines of its keys.
type source struct {
	file  string
	lines map[string]int
}

// LoadFleet resolves a settings tree: a directory whose files and sub-directories
// are branches, or a single file. The files of a directory are read in order of
// name; a sub-directory inherits its parent's defaults and may override its
// entries. Tables merge key by key, lists replace each other, and Delete = true
// removes an entry. The error is an *InvalidError with every problem found.
func LoadFleet(path string) (fleet *Fleet, err error) {
	defer func() { err = trace.Wrap(err, "loading settings tree") }()
	reader := treeReader{result: table{}}
	defaults, err := toTable(BuiltinDefaults())
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		err = reader.readDirectory(path, defaults)
	} else {
		_, err = reader.readFile(path, defaults)
	}
	if err != nil {
		return nil, err
	}
	if len(reader.problems) > 0 {
		return nil, &InvalidError{Problems: reader.problems}
	}
	return reader.buildFleet()
}

// treeReader collects the contents of the branches, in order.
type treeReader struct {
	result   table
	sources  []source
	problems []*Problem
}

func (r *treeReader) readDirectory(path string, defaults table) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name() < entries[j].Name() })
	for _, entry := range entries {
		if entry.IsDir() || filepath.Ext(entry.Name()) != ".toml" {
			continue
		}
		defaults, err = r.readFile(filepath.Join(path, entry.Name()), defaults)
		if err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if !isBranch(entry) {
			continue
		}
		if err := r.readDirectory(filepath.Join(path, entry.Name()), defaults); err != nil {
			return err
		}
	}
	return nil
}

func isBranch(entry fs.DirEntry) bool {
	return entry.IsDir() && !strings.HasPrefix(entry.Name(), ".")
}

// readFile merges one file into the result and returns the defaults that apply
// to what comes after it in its branch.
func (r *treeReader) readFile(path string, defaults table) (table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := decodeStrict(path, text, &branch{}); err != nil {
		r.problems = append(r.problems, err.(*InvalidError).Problems...)
		return defaults, nil
	}
	var content table
	if err := toml.Unmarshal(text, &content); err != nil {
		return nil, err
	}
	r.sources = append(r.sources, source{file: path, lines: keyLines(text)})
	ownDefaults, _ := content["Defaults"].(table)
	defaults = mergeTables(defaults, ownDefaults)
	r.mergeEntries("Classes", content, subTable(defaults, "Class"))
	r.mergeEntries("Customers", content, subTable(defaults, "Customer"))
	poolDefaults := subTable(defaults, "Pool")
	endpointDefaults := subTable(defaults, "Endpoint")
	r.mergeEntries("Pools", content, poolDefaults)
	fillEndpoints(subTable(r.result, "Pools"), subTable(content, "Pools"), endpointDefaults)
	return defaults, nil
}

// mergeEntries merges the entries of one kind. An entry starts from the defaults
// of the branch that first names it.
func (r *treeReader) mergeEntries(kind string, content, defaults table) {
	all, _ := r.result[kind].(table)
	if all == nil {
		all = table{}
		r.result[kind] = all
	}
	for name, value := range subTable(content, kind) {
		entry, _ := value.(table)
		if deleted, _ := entry["Delete"].(bool); deleted {
			delete(all, name)
			continue
		}
		base, known := all[name].(table)
		if !known {
			base = defaults
		}
		all[name] = mergeTables(base, entry)
	}
}

// fillEndpoints applies defaults to the endpoints of the named pools.
func fillEndpoints(pools, named, defaults table) {
	for name := range named {
		pool, _ := pools[name].(table)
		endpoints := subTable(pool, "Endpoints")
		for endpointName, value := range endpoints {
			endpoint, _ := value.(table)
			endpoints[endpointName] = mergeTables(defaults, endpoint)
		}
	}
}

func (r *treeReader) buildFleet() (*Fleet, error) {
	text, err := json.Marshal(r.result)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{}
	if err := json.Unmarshal(text, fleet); err != nil {
		return nil, err
	}
	problems := checkFleet(fleet)
	locate(problems, r.sources)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return fleet, nil
}

// locate sets the file and line of problems: the last branch that names the path.
func locate(problems []*Problem, sources []source) {
	for _, problem := range problems {
		for i := len(sources) - 1; i >= 0; i-- {
			line := lineOf(sources[i].lines, problem.Path)
			if line == 0 {
				continue
			}
			problem.File = sources[i].file
			problem.Line = line
			break
		}
	}
}

func subTable(from table, key string) table {
	sub, _ := from[key].(table)
	return sub
}

// mergeTables returns base overridden by override; neither is modified.
func mergeTables(base, override table) table {
	result := make(table, len(base)+len(override))
	for key, value := range base {
		result[key] = value
	}
	for key, value := range override {
		overTable, isTable := value.(table)
		baseTable, wasTable := result[key].(table)
		if isTable && wasTable {
			result[key] = mergeTables(baseTable, overTable)
			continue
		}
		if isTable {
			value = mergeTables(nil, overTable)
		}
		result[key] = value
	}
	return result
}

func toTable(value any) (table, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var result table
	err = json.Unmarshal(text, &result)
	return result, err
}
