package idempotency
type Client struct{}
