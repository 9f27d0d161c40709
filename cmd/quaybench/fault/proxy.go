// Package fault injects faults into the connections of a fleet. It runs the
// proxies of the toxiproxy library within the process of the harness.
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

// ProxySet is a set of proxies by link name.
type ProxySet struct {
	mu      sync.Mutex
	server  *toxiproxy.ApiServer
	proxies map[string]*toxiproxy.Proxy
}

// NewProxySet returns an empty set. The HTTP server of the library is never
// started.
func NewProxySet() *ProxySet {
	return &ProxySet{
		server:  toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{},
	}
}

// Add starts a proxy for the upstream address and returns the address of the
// proxy. If the link has a proxy already, it returns the address of that one.
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

// Toxic is one fault of a link, in the term of the toxiproxy library.
type Toxic struct {
	// Type is the library's name for the fault, such as "latency", "timeout",
	// "reset_peer", "limit_data" or "bandwidth".
	Type string
	// Upstream faults affect the data sent to the server, others the data that
	// the server sends.
	Upstream bool
	// Attributes are the parameters of the fault type, such as "timeout" in
	// milliseconds.
	Attributes map[string]int
}

// toxicMessage is the JSON form of a fault that the library reads.
type toxicMessage struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Toxicity   float32        `json:"toxicity"`
	Attributes map[string]int `json:"attributes"`
}

// Inject starts a fault on the present and future connections of a link.
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

// Heal removes all faults of a link, and starts its proxy again after Refuse.
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

// Cut drops all data of a link in both directions until Heal. Connections stay
// open, so neither side gets an error.
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

// Close stops all proxies.
func (s *ProxySet) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, proxy := range s.proxies {
		proxy.Stop()
	}
}
