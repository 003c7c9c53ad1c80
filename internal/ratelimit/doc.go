// Package ratelimit holds the rate limits that servers announce: how many requests
// a second a server accepts from all hosts together.
//
// A server announces its limit in its responses for as long as it applies, so every
// host hears of a limit at a different moment, and no host hears of all of it. A
// Table merges what this host has heard with what other hosts report. Of two reports
// about one server the later one counts, whatever the order in which they arrive;
// reports carry ages, because the clocks of hosts differ.
package ratelimit
