package peer

import "context"

// Heartbeat sends a heartbeat and returns the other instance's.
func (c *Client) Heartbeat(ctx context.Context, address string, req *HeartbeatRequest) (*HeartbeatResponse, error) {
	return invoke(ctx, c, "Heartbeat", address, req, PeerClient.Heartbeat)
}

// Configuration offers or requests a configuration document.
func (c *Client) Configuration(ctx context.Context, address string, req *ConfigurationRequest) (*ConfigurationResponse, error) {
	return invoke(ctx, c, "Configuration", address, req, PeerClient.Configuration)
}

// Credit requests cold-start credits.
func (c *Client) Credit(ctx context.Context, address string, req *CreditRequest) (*CreditResponse, error) {
	return invoke(ctx, c, "Credit", address, req, PeerClient.Credit)
}

// Pin reads or writes a session pin.
func (c *Client) Pin(ctx context.Context, address string, req *PinRequest) (*PinResponse, error) {
	return invoke(ctx, c, "Pin", address, req, PeerClient.Pin)
}

// Pins exchanges the pins of named sessions.
func (c *Client) Pins(ctx context.Context, address string, req *PinsRequest) (*PinsResponse, error) {
	return invoke(ctx, c, "Pins", address, req, PeerClient.Pins)
}

// Ledger sends records to the keeper of a ledger shard.
func (c *Client) Ledger(ctx context.Context, address string, req *LedgerRequest) (*LedgerResponse, error) {
	return invoke(ctx, c, "Ledger", address, req, PeerClient.Ledger)
}

// Copies sends copies of records for another instance to hold.
func (c *Client) Copies(ctx context.Context, address string, req *CopiesRequest) (*CopiesResponse, error) {
	return invoke(ctx, c, "Copies", address, req, PeerClient.Copies)
}

// Evidence exchanges rollout counters.
func (c *Client) Evidence(ctx context.Context, address string, req *EvidenceRequest) (*EvidenceResponse, error) {
	return invoke(ctx, c, "Evidence", address, req, PeerClient.Evidence)
}

// Reports sends load reports.
func (c *Client) Reports(ctx context.Context, address string, req *ReportsRequest) (*ReportsResponse, error) {
	return invoke(ctx, c, "Reports", address, req, PeerClient.Reports)
}

// Explain requests decision records.
func (c *Client) Explain(ctx context.Context, address string, req *ExplainRequest) (*ExplainResponse, error) {
	return invoke(ctx, c, "Explain", address, req, PeerClient.Explain)
}

// Status requests the state of an instance.
func (c *Client) Status(ctx context.Context, address string, req *StatusRequest) (*StatusResponse, error) {
	return invoke(ctx, c, "Status", address, req, PeerClient.Status)
}

// Listing sends and requests changes of the instance list.
func (c *Client) Listing(ctx context.Context, address string, req *ListingRequest) (*ListingResponse, error) {
	return invoke(ctx, c, "Listing", address, req, PeerClient.Listing)
}
