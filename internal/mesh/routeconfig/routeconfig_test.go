package routeconfig

import "testing"

const text = `{"edition":"r12","itineraries":[
{"name":"a","depot":"Shop.example","lanePrefix":"/","routeKind":"safe","carrier":"s1","tries":1},
{"name":"b","depot":"shop.example","lanePrefix":"/x/","routeKind":"tracked","carrier":"s2","tries":1},
{"name":"c","depot":"shop.example","lanePrefix":"/x/y/","routeKind":"unsafe","allotment":[{"carrier":"s1","share":90},{"carrier":"s2","share":10}],"tries":1},
{"name":"d","depot":"other.example","lanePrefix":"/x/","routeKind":"download","carrier":"s1","tries":1}],
"carriers":[{"name":"s1"},{"name":"s2","dedupSelf":true}]}`

// Match returns the route with the longest prefix, and prefixes match only at slashes. Host names are compared without regard to
// case and may include a port.
func TestMatch(t *testing.T) {
	table, err := Compile([]byte(text))
	if err != nil || table.Version != 12 {
		t.Fatal(table, err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/x/y/z", "c"}, {"shop.example", "/x/y/", "c"}, {"shop.example", "/x/yz", "b"}, {"shop.example", "/x", "a"},
		{"SHOP.example:8080", "/q/x/y/", "a"}, {"shop.example", "/x/?a=/y/", "b"}, {"other.example", "/x/1", "d"},
		{"other.example", "/y", ""}, {"third.example", "/x/", ""}, {"shop.example", "*", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestHostWithSlashIsNoPrefix guards against a route that is found by another host name whose path continues the route's name: a
// request would go to a service that the configuration does not allow.
func TestHostWithSlashIsNoPrefix(t *testing.T) {
	table, err := Compile([]byte(`{"edition":"r1","itineraries":[
{"name":"slash","depot":"shop.example/x","lanePrefix":"/","routeKind":"safe","carrier":"s1","tries":1},
{"name":"plain","depot":"shop.example","lanePrefix":"/x/","routeKind":"safe","carrier":"s2","tries":1}],
"carriers":[{"name":"s1"},{"name":"s2"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/x/1", "plain"}, {"shop.example/x", "/1", "slash"}, {"shop.example/x", "/x/1", "slash"}, {"shop.example", "/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s and %s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// ServiceFor splits keys according to the shares, and the same key always gets the same service.
func TestServiceFor(t *testing.T) {
	table, err := Compile([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, n := table.Match("shop.example", "/x/y/"), 0
	for i := range 10000 {
		key := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		first, again := r.ServiceFor(key), r.ServiceFor(key)
		if first == "s2" {
			n++
		}
		if first != again {
			t.Fatal("one key got two services")
		}
	}
	if n < 850 || n > 1150 {
		t.Fatalf("%d of 10000 keys went to the service with 10 %% of the weight", n)
	}
}

func TestParseVersion(t *testing.T) {
	for text, want := range map[string]uint64{"r1": 1, "r12": 12, "12": 0, "r": 0, "r-1": 0, "R3": 0} {
		got, err := ParseVersion(text)
		if got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d, %v", text, got, err)
		}
	}
}
