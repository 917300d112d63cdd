package jkruleset

import (
	"fmt"
	"testing"
)

func ExampleSet_Match() {
	route := func(name, prefix string) *Route {
		return NewRoute(RouteConfig{Name: name, Host: "shop.example", Prefix: prefix, Shares: []Share{{Service: "app", Weight: 1}}})
	}
	s := NewSet(1, Limits{}, []*Service{NewService(ServiceConfig{Name: "app"})}, []*Route{
		route("all", "/"), route("orders", "/orders/"),
	})
	fmt.Println(s.Match("shop.example", "/orders/7").Name())
	fmt.Println(s.Match("SHOP.example:8080", "/other").Name())
	fmt.Println(s.Match("elsewhere.example", "/orders/7"))
	// Output:
	// orders
	// all
	// <nil>
}

// Guards against traffic that isn't split by the weights, and against a key that
// changes its service from one request to the next.
func TestSharesFollowTheWeights(t *testing.T) {
	r := NewRoute(RouteConfig{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}})
	counts := map[string]int{}
	for i := range uint64(10000) {
		hash := i * 0x9E3779B97F4A7C15
		service := r.Service(hash)
		if again := r.Service(hash); again != service {
			t.Fatalf("one key has the services %s and %s", service, again)
		}
		counts[service]++
	}
	if counts["b"] < 900 || counts["b"] > 1100 {
		t.Errorf("shares are %v, want about 9000 and 1000", counts)
	}
}
