package routes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func testConfig() *Config {
	return NewConfig(1, 1, nil, Limits{}, map[string][]Route{
		"Shop.example": {{Name: "short", Prefix: "/a/"}, {Name: "long", Prefix: "/a/b/"}, {Name: "other", Prefix: "/c/"}},
	})
}

func TestMatch(t *testing.T) {
	c := testConfig()
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/a/x", "short"},
		{"shop.example", "/a/b/x", "long"},
		{"SHOP.example:8080", "/a/b/", "long"},
		{"shop.example", "/a/b", "short"},
		{"shop.example", "/a", ""},
		{"shop.example", "/ab/", ""},
		{"elsewhere.example", "/a/", ""},
		{"shop.example", "//a/x", ""},
	} {
		name := ""
		if r := c.Match(test.host, test.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, test.want, "%s%s", test.host, test.path)
	}
}

// Guards against shares that are met only over many requests.
func TestSplitterKeepsWeightsInShortSpans(t *testing.T) {
	s := NewSplitter()
	route := &Route{Name: "r", Backends: []Backend{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := make(map[string]int)
	for i := 1; i <= 100; i++ {
		counts[s.Pick(route, 0.37)]++
		if i%20 == 0 {
			assert.Assert(t, counts["b"] >= i/10-1 && counts["b"] <= i/10+1, "after %d: %v", i, counts)
		}
	}
	assert.Equal(t, counts["none"], 0)
}
