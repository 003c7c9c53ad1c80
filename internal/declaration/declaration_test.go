package declaration

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// TestMain fixes the seed of rapid unless one is given, so that the same tree
// gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

const serverLabels = `apiVersion: cassiasill/v1
kind: ServerLabels
metadata:
  name: inv-03
spec:
  service: inventario
  server: inv-03
  labels:
    tier: fast
`

// Guards against a mistyped document being accepted or reported without the
// place and the right spelling.
func TestDecodeReportsPlaceAndSpelling(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"kind", "kind: ServerLabels", "kind: ServerLabel", `f.yaml:2: ServerLabel/inv-03: kind: unknown kind "ServerLabel" (did you mean "ServerLabels"?)`},
		{"field", "  server: inv", "  sever: inv", `f.yaml:7: spec.sever: unknown field (did you mean "server"?)`},
		{"top field", "metadata:", "metdata:", `f.yaml:3: metdata: unknown field (did you mean "metadata"?)`},
		{"field of other kind", "  server: inv-03", "  server: inv-03\n  keys: a=b", `f.yaml:8: spec.keys: unknown field`},
		{"version", "cassiasill/v1", "cassiasill/v2", `f.yaml:1: ServerLabels/inv-03: apiVersion: must be "cassiasill/v1"`},
		{"missing", "  server: inv-03\n", "", `f.yaml:6: ServerLabels/inv-03: spec.server: is missing`},
		{"reserved label", "    tier: fast", "    cassiasill/drian: x", `f.yaml:9: ServerLabels/inv-03: spec.labels.cassiasill/drian: labels with the prefix cassiasill/ are set by the router (did you mean "cassiasill/drain"?)`},
		{"drain value", "    tier: fast", "    cassiasill/drain: yes", `f.yaml:9: ServerLabels/inv-03: spec.labels.cassiasill/drain: must be "true" or "false", found "yes"`},
		{"type", "    tier: fast", "    - fast", `f.yaml:9: `},
		{"syntax", "metadata:", "metadata: [", `f.yaml:`},
		{"double", "    tier: fast\n", "    tier: fast\n---\n" + serverLabels, `f.yaml:14: ServerLabels/inv-03: the document is also on line 4`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode("f.yaml", []byte(strings.Replace(serverLabels, c.old, c.new, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
	documents, err := Decode("f.yaml", []byte("# comment\n---\n"+serverLabels+"---\n"+strings.Replace(serverLabels, "name: inv-03", "name: other", 1)))
	assert.NilError(t, err)
	assert.Equal(t, len(documents), 2)
	data, err := EncodeYAML(documents)
	assert.NilError(t, err)
	again, err := Decode("again", data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, documents)
}

// Guards against selectors that match the wrong labels or are accepted though
// they can match nothing.
func TestSelector(t *testing.T) {
	labels := topology.Labels{"a": "x", "b": "1", "odd": "p q"}
	for _, c := range []struct {
		text, want string
		matches    bool
	}{
		{"", "", true}, {"a=x", "a=x", true}, {"a==y", "a=y", false}, {"a!=y , b", "a!=y,b", true},
		{"missing!=y", "missing!=y", true}, {"a in (y, x)", "a in (x,y)", true}, {"a notin (x)", "a!=x", false},
		{"missing notin (x,y)", "missing notin (x,y)", true}, {"a exists", "a", true}, {"!a", "!a", false}, {"!missing", "!missing", true},
		{`odd="p q"`, `odd="p q"`, true}, {"in in (in)", "in=in", false},
	} {
		s, err := ParseSelector(c.text)
		assert.NilError(t, err, c.text)
		assert.Equal(t, s.String(), c.want)
		assert.Equal(t, s.Matches(labels), c.matches, c.text)
		assert.Equal(t, s.Mismatch(labels) == "", c.matches, c.text)
		assert.Equal(t, s.Contradiction(), "", c.text)
	}
	for text, want := range map[string]string{
		"a=": "column 3: expected a value, found the end", "a inn (x)": `unknown operator "inn" (did you mean "in"?)`,
		"a=x,": "expected a label", "a in x": `expected "("`, "a in (x": `expected ")"`, `a="x`: "quote is not closed", "=x": "expected a label", "a=x b=y": `expected ","`,
	} {
		_, err := ParseSelector(text)
		assert.ErrorContains(t, err, want, text)
	}
	for _, text := range []string{"a=x,a=y", "a,!a", "!a,a=x", "a in (x,y),a notin (x,y)", "a=x,a!=x"} {
		s, err := ParseSelector(text)
		assert.NilError(t, err)
		assert.Assert(t, s.Contradiction() != "", text)
	}
}

// Guards against a canonical form that means something else than the text.
func TestSelectorStringParsesToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[abx!=,() "]{0,24}|!?[ab](=|!=| in \(x,y\)| notin \(x\)| exists)?[xy]?`).Draw(t, "text")
		s, err := ParseSelector(text)
		if err != nil {
			return
		}
		again, err := ParseSelector(s.String())
		assert.NilError(t, err, "%q became %q", text, s)
		assert.Equal(t, again.String(), s.String())
	})
}

func testSet(t *testing.T, yaml string) *Set {
	t.Helper()
	documents, err := Decode("test", []byte(yaml))
	assert.NilError(t, err)
	byKey := make(map[Key]*Document)
	for _, d := range documents {
		byKey[d.Key()] = d
	}
	servers := func(prefix string, n int) (out []topology.Server) {
		for i := range n {
			out = append(out, topology.Server{Name: topology.ServerName(fmt.Sprint(prefix, "-", i)), AvailabilityZone: topology.AvailabilityZone(fmt.Sprint("zone-", i%2))})
		}
		return out
	}
	return Compile(7, byKey, Inventory{Services: []Service{
		{Name: "finishes", Partitioned: true, Servers: servers("fin", 4)}, {Name: "orders", Servers: servers("ord", 3)},
	}, Callers: map[topology.Caller]topology.Labels{"shop-1": {"channel": "trade"}}})
}

func document(kind, name, spec string) string {
	return fmt.Sprintf("---\napiVersion: cassiasill/v1\nkind: %s\nmetadata: {name: %s}\nspec: {%s}\n", kind, name, spec)
}

var rules = document("ServerLabels", "big", `service: finishes, server: fin-1, labels: {size: big}`) +
	document("ServerLabels", "drained", `service: finishes, server: fin-0, labels: {cassiasill/drain: true}`) +
	document("ServerLabels", "ord", `service: orders, server: ord-2, labels: {cassiasill/drain: "true"}`) +
	document("KeyLabels", "absorbed", `service: finishes, prefix: KOF-, labels: {catalogue: absorbed}`) +
	document("KeyLabels", "special", `service: finishes, key: KOF-7, labels: {catalogue: own}`) +
	document("KeyLabels", "brass", `service: finishes, pattern: "*-BR?SS", labels: {metal: brass}`) +
	document("OwnershipRule", "absorbed-on-big", `service: finishes, keys: catalogue=absorbed, servers: size=big`) +
	document("OwnershipRule", "brass-in-zone-0", `service: finishes, keys: metal=brass, servers: cassiasill/availability-zone=zone-0`) +
	document("ServingRule", "trade", `service: orders, callers: channel=trade, servers: "cassiasill/server in (ord-0,ord-2)"`) +
	document("ServingRule", "zone", `service: orders, callers: cassiasill/caller=shop-2, servers: cassiasill/server!=ord-0`)

// Guards against keys or callers reaching servers that the rules exclude, and
// against drained servers being eligible.
func TestEligibleServers(t *testing.T) {
	set := testSet(t, rules)
	for key, want := range map[string]string{
		"PLAIN": "[fin-1 fin-2 fin-3]", "KOF-1": "[fin-1]", "KOF-7": "[fin-1 fin-2 fin-3]", "X-BRASS": "[fin-2]", "KOF-BRASS": "[]",
	} {
		assert.Equal(t, fmt.Sprint(set.MayOwn("finishes", key)), want, key)
		e, ok := set.ExplainKey("finishes", key)
		assert.Assert(t, ok)
		var eligible []topology.ServerName
		for _, s := range e.Servers {
			if s.Eligible {
				eligible = append(eligible, s.Server)
			}
		}
		assert.Equal(t, fmt.Sprint(eligible), want, "explanation of %s differs", key)
	}
	assert.Equal(t, fmt.Sprint(set.MayServe("orders", "shop-1")), "[ord-0]")
	assert.Equal(t, fmt.Sprint(set.MayServe("orders", "shop-2")), "[ord-1]")
	assert.Equal(t, fmt.Sprint(set.MayServe("orders", "shop-3")), "[ord-0 ord-1]")
	e, _ := set.ExplainKey("finishes", "KOF-1")
	text := fmt.Sprint(e)
	for _, want := range []string{"is drained by ServerLabels/drained", "OwnershipRule/absorbed-on-big requires size=big, found no label size", "KeyLabels/absorbed"} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in %s", want, text)
	}
	for key, want := range map[string]bool{"PLAIN": false, "KOF-1": true, "KOF-7": false, "X-BRASS": true} {
		assert.Equal(t, set.Restricted("finishes", key), want, key)
		assert.Equal(t, set.GroupOf("finishes", key).ID != set.DefaultGroup("finishes").ID, want, key)
	}
	allocations := testing.AllocsPerRun(100, func() { set.MayServe("orders", "shop-1"); set.Restricted("finishes", "PLAIN") })
	assert.Equal(t, allocations, 0.0, "the request path allocates")
	named := testSet(t, document("OwnershipRule", "r", `service: finishes, keys: "cassiasill/key in (A,B)", servers: cassiasill/server=fin-1`)+
		document("OwnershipRule", "all", `service: finishes, keys: cassiasill/key, servers: cassiasill/server!=fin-2`))
	assert.DeepEqual(t, named.LabeledKeys("finishes"), []string{"A", "B"})
	assert.Equal(t, fmt.Sprint(named.DefaultGroup("finishes").Servers, named.Restricted("finishes", "A"), named.Restricted("finishes", "C")), "[fin-0 fin-1 fin-3] true false")
}

func manyRules(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(document("ServingRule", fmt.Sprint("r-", i), "service: orders, servers: cassiasill/server=ord-0"))
	}
	return b.String()
}

// Guards against faults in the context of other documents passing validation.
func TestValidate(t *testing.T) {
	for _, c := range []struct{ name, yaml, want string }{
		{"unknown service", document("OwnershipRule", "r", `service: finnishes, servers: a=b`), `no service "finnishes" (did you mean "finishes"?)`},
		{"unknown server", document("ServerLabels", "r", `service: orders, server: ord-9, labels: {a: b}`), `no server "ord-9"`},
		{"not partitioned", document("OwnershipRule", "r", `service: orders, servers: a=b`), "use a ServingRule"},
		{"partitioned", document("ServingRule", "r", `service: finishes, servers: a=b`), "use an OwnershipRule"},
		{"label given twice", document("ServerLabels", "r", `service: finishes, server: fin-1, labels: {size: small}`), "gives the label another value"},
		{"matches nothing", document("OwnershipRule", "r", `service: finishes, servers: sise=big`), `warning matches none of the 4 servers of finishes; no label sise (did you mean "size"?)`},
		{"keys match nothing", document("OwnershipRule", "r", `service: finishes, keys: catalog=x, servers: size=big`), `warning selects by a label or value that no key has; no label catalog (did you mean "catalogue"?)`},
		{"value of no server", document("OwnershipRule", "r", `service: finishes, servers: cassiasill/availability-zone=zne-1`), `no cassiasill/availability-zone=zne-1 (did you mean "zone-1"?)`},
		{"too many rules", manyRules(maxServingRules - 1), "would have 257 serving rules, the limit is 256"},
		{"no server left", "", "warning keys of KeyLabels"},
	} {
		var found []string
		set := testSet(t, rules+c.yaml)
		for _, f := range set.Validate() {
			found = append(found, strings.Repeat("warning ", map[bool]int{true: 1}[f.Warning])+f.Reason)
		}
		if c.name == "no server left" {
			set = testSet(t, rules+document("KeyLabels", "both", `service: finishes, prefix: B-, labels: {catalogue: absorbed, metal: brass}`))
			for _, f := range set.Validate() {
				found = append(found, strings.Repeat("warning ", map[bool]int{true: 1}[f.Warning])+f.Reason)
			}
		}
		assert.Assert(t, strings.Contains(strings.Join(found, "\n"), c.want), "%s: %q not in %q", c.name, c.want, found)
	}
	assert.Equal(t, len(testSet(t, rules).Validate()), 0)
}

// Guards against a merge that loses an edit or invents a value.
func TestMergeKeepsBothEdits(t *testing.T) {
	value := rapid.SampledFrom([]string{"", "x", "y", "z"})
	draw := func(t *rapid.T, name string) *Document {
		d := &Document{APIVersion: APIVersion, Kind: KindServerLabels, Metadata: Metadata{Name: "d", Description: value.Draw(t, name)}, Spec: Spec{Labels: topology.Labels{}}}
		for _, label := range []string{"a", "b", "c"} {
			if v := value.Draw(t, name+label); v != "" {
				d.Spec.Labels[label] = v
			}
		}
		return d
	}
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := draw(t, "base"), draw(t, "mine"), draw(t, "theirs")
		merged, conflicts := Merge(base.Key(), base, mine, theirs)
		b, m, th, got := base.FieldValues(), mine.FieldValues(), theirs.FieldValues(), merged.FieldValues()
		inConflict := make(map[string]bool)
		for _, c := range conflicts {
			inConflict[c.Field] = true
		}
		for _, field := range fieldNames(b, m, th, got) {
			bothChanged := m[field] != b[field] && th[field] != b[field] && m[field] != th[field]
			assert.Equal(t, inConflict[field], bothChanged, field)
			want := th[field]
			if m[field] != b[field] && !bothChanged {
				want = m[field]
			}
			assert.Equal(t, got[field], want, field)
		}
	})
	d := testSet(t, rules).Get(Key{KindServerLabels, "big"})
	edited := d.Clone()
	edited.Spec.Labels["size"] = "small"
	for _, c := range []struct{ base, mine, theirs *Document }{{d, nil, edited}, {d, edited, nil}, {nil, d, edited}} {
		_, conflicts := Merge(d.Key(), c.base, c.mine, c.theirs)
		assert.Equal(t, len(conflicts), 1)
	}
}

// Guards against a schema that no longer describes the documents.
func TestSchemaIsCommitted(t *testing.T) {
	want, err := JSONSchema()
	assert.NilError(t, err)
	got, err := os.ReadFile("../../docs/schema/cassiasill-v1.json")
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want), "write the output of JSONSchema to docs/schema/cassiasill-v1.json")
}

// BenchmarkCompileAndValidate10000 is the cost of one change on the host that
// accepts it, with the largest number of documents that is planned for.
func BenchmarkCompileAndValidate10000(b *testing.B) {
	documents := make(map[Key]*Document)
	add := func(kind Kind, name string, spec Spec) {
		d := &Document{APIVersion: APIVersion, Kind: kind, Metadata: Metadata{Name: name}, Spec: spec}
		documents[d.Key()] = d
	}
	service := Service{Name: "finishes", Partitioned: true}
	for i := range 1900 {
		name := topology.ServerName(fmt.Sprint("fin-", i))
		service.Servers = append(service.Servers, topology.Server{Name: name})
		add(KindServerLabels, string(name), Spec{Service: "finishes", Server: name, Labels: topology.Labels{"pool": fmt.Sprint(i % 50)}})
	}
	for i := range 8000 {
		add(KindKeyLabels, fmt.Sprint("k-", i), Spec{Service: "finishes", Prefix: fmt.Sprint("P", i, "-"), Labels: topology.Labels{"group": fmt.Sprint(i % 50)}})
	}
	for i := range 100 {
		add(KindOwnershipRule, fmt.Sprint("r-", i), Spec{Service: "finishes", Keys: fmt.Sprint("group=", i%50), Servers: fmt.Sprint("pool=", i%50)})
	}
	for b.Loop() {
		set := Compile(1, documents, Inventory{Services: []Service{service}})
		if findings := set.Validate(); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}
