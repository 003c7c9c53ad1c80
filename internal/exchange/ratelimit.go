package exchange

import "github.com/cassiasill/cassiasill/internal/ratelimit"

// parseRateLimit sets what the response states about the server's rate limit. A
// misdirected request may have reached another server, whose limit says nothing
// about this one. Without a signature, the lack of a limit proves nothing.
func (p *Pool) parseRateLimit(result *Result) {
	if result.Misdirected || p.headers.RateLimit == "" {
		return
	}
	result.RateLimit, result.Rate, result.RateLimitErr = ratelimit.ParseRate(result.Header.Values(p.headers.RateLimit))
	if result.RateLimit == ratelimit.Unlimited && result.Header.Get(p.headers.Signature) == "" {
		result.RateLimit = ratelimit.Unstated
	}
}
