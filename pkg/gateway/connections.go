package gateway

const (
	// scarceConnections is the fraction of the connections for callers in use from which on each
	// response asks its caller to close the connection. Callers that retry on new connections and
	// keep the old ones would otherwise take all of them, and no new caller could connect.
	scarceConnections = 0.75
	// fullConnections is the fraction in use from which on this box is not ready, because it could
	// hardly accept another caller.
	fullConnections = 0.95
)

// usedConnections returns the fraction of the connections for callers that are open.
func (g *Gateway) usedConnections() float64 {
	return float64(g.callers.GetOpenConnectionsCount()) / float64(max(1, g.Settings.maxCallers()))
}
