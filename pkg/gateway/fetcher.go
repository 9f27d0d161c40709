package gateway

import "sync"

// fetcher fetches newer versions from other boxes, one fetch at a time. Many boxes announce a
// new version within milliseconds; with a fetch from each of them, every box of a fleet of 100
// boxes and 1,000 endpoints sent 250 kB a second.
type fetcher struct {
	// localVersion returns the version that this box has.
	localVersion func() uint64
	// fetch fetches a version from a box.
	fetch func(from string, version uint64)

	mu      sync.Mutex
	running bool
	// sources are the versions announced since fetching began, by box.
	sources map[string]uint64
}

// addSource records that a box announced a version. It reports whether run has to be started.
func (f *fetcher) addSource(from string, version uint64) (start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sources == nil {
		f.sources = map[string]uint64{}
	}
	f.sources[from] = version
	start = !f.running
	f.running = true
	return start
}

// run fetches until no source is ahead. A fetch that failed is retried only when its box
// announces a version again.
func (f *fetcher) run() error {
	for {
		from, version := f.nextSource()
		if from == "" {
			return nil
		}
		f.fetch(from, version)
	}
}

// nextSource removes and returns the source with the highest version, if that is ahead.
func (f *fetcher) nextSource() (from string, version uint64) {
	known := f.localVersion()
	f.mu.Lock()
	defer f.mu.Unlock()
	version = known
	for box, announced := range f.sources {
		if announced > version {
			from, version = box, announced
		}
	}
	delete(f.sources, from)
	f.running = from != ""
	if !f.running {
		f.sources = nil
	}
	return from, version
}
