// Package fault injects faults into the connections of a fleet, with the
// proxies of a library that are held in the harness itself.
package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Grid is a set of proxies by the names of their links.
type ProxySet struct {
	mu      sync.Mutex
	server  *toxiproxy.ApiServer
	proxies map[string]*toxiproxy.Proxy
}

// NewGrid makes an empty set. The library's own server is never started.
func NewProxySet() *ProxySet {
	return &ProxySet{
		server:  toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{},
	}
}

// Add puts a proxy before an address, and returns its own address.
func (s *ProxySet) Add(link, upstream string) (address string, err error) {
	defer func() { err = trace.Wrap(err, "adding a proxy for %s", link) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.proxies[link]; ok {
		return known.Listen, nil
	}
	proxy := toxiproxy.NewProxy(s.server, link, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	s.proxies[link] = proxy
	return proxy.Listen, nil
}

// Toxic is one fault of a link.
type Toxic struct {
	// Type is the library's name of the fault, such as "latency", "timeout",
	// "reset_peer", "limit_data" or "bandwidth".
	Type string
	// Upstream faults hit what goes to the server, others what comes back.
	Upstream bool
	// Attributes are the fault's own, such as "timeout" in milliseconds.
	Attributes map[string]int
}

// toxicMessage is the library's own form of a fault.
type toxicMessage struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Toxicity   float32        `json:"toxicity"`
	Attributes map[string]int `json:"attributes"`
}

// Inject switches a fault on, for present and future connections of a link.
func (s *ProxySet) Inject(link string, toxic Toxic) (err error) {
	defer func() { err = trace.Wrap(err, "injecting %s into %s", toxic.Type, link) }()
	proxy, err := s.proxy(link)
	if err != nil {
		return err
	}
	stream := "downstream"
	if toxic.Upstream {
		stream = "upstream"
	}
	message, err := json.Marshal(toxicMessage{
		Name:       toxic.Type + "_" + stream,
		Type:       toxic.Type,
		Stream:     stream,
		Toxicity:   1,
		Attributes: toxic.Attributes,
	})
	if err != nil {
		return err
	}
	_, err = proxy.Toxics.AddToxicJson(bytes.NewReader(message))
	return err
}

// Heal switches all faults of a link off.
func (s *ProxySet) Heal(link string) error {
	proxy, err := s.proxy(link)
	if err != nil {
		return err
	}
	proxy.Toxics.ResetToxics(context.Background())
	if proxy.Enabled {
		return nil
	}
	return trace.Wrap(proxy.Start())
}

// Refuse closes a link's connections and refuses new ones until Heal.
func (s *ProxySet) Refuse(link string) error {
	proxy, err := s.proxy(link)
	if err != nil {
		return err
	}
	proxy.Stop()
	return nil
}

// Cut silences a link in both directions until Heal: nothing passes, and
// neither side is told.
func (s *ProxySet) Cut(link string) error {
	for _, upstream := range []bool{true, false} {
		toxic := Toxic{Type: "timeout", Upstream: upstream, Attributes: map[string]int{"timeout": 0}}
		if err := s.Inject(link, toxic); err != nil {
			return err
		}
	}
	return nil
}

func (s *ProxySet) proxy(link string) (*toxiproxy.Proxy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	proxy, ok := s.proxies[link]
	if !ok {
		return nil, trace.NotFound("there is no link %s", link)
	}
	return proxy, nil
}

// Close ends all proxies.
func (s *ProxySet) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, proxy := range s.proxies {
		proxy.Stop()
	}
}
