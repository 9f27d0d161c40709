package route

// Directory is what is known of the endpoints of all services. It is not
// changed once it is in use.
type Directory struct {
	// Version rises with each change; it comes from the store's own counter.
	Version uint64
	// Endpoints are by ID.
	Endpoints map[string]Endpoint
}

// Endpoint is one server of a service. Each start of a server is a new
// endpoint with an ID of its own.
type Endpoint struct {
	ID      string
	Service string
	// Address is IP and port. Another endpoint may have it later.
	Address string
	Zone    string
	// Slots is the number of requests it runs at once.
	Slots int
	// Leaving endpoints get no new work.
	Leaving bool
}

// Of returns the endpoints of a service that take new work.
func (d *Directory) Of(service string) []Endpoint {
	var found []Endpoint
	if d == nil {
		return nil
	}
	for _, endpoint := range d.Endpoints {
		if endpoint.Service == service && !endpoint.Leaving {
			found = append(found, endpoint)
		}
	}
	return found
}
