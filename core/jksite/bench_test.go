package jksite

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// BenchmarkCall measures creating a program and one call of 16 tokens, on four hosts in
// two zones. The stand-in engine and the client are part of the measured time.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Engine: options,
		Folder: func(string) string { return b.TempDir() }, Log: jklog.Discard(),
	})
	defer site.Stop(ctx)
	if err != nil {
		b.Fatal(err)
	}
	messages := []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text("a wedding for 120 guests")}}
	n := 0
	for b.Loop() {
		host := "http://" + site.Daemons[n%4].HTTP()
		created := send(b, "POST", host+"/v1/programs", nil, map[string]string{"workspace": "w", "template": Template})
		token := created.header.Get("X-Program-Token")
		a := send(b, "POST", host+"/v1/chat/completions", map[string]string{"X-Program-Token": token, "X-Request-Id": fmt.Sprint(n)},
			jkchat.Request{Model: Model, Messages: messages, MaxTokens: 16})
		if a.status != http.StatusOK {
			b.Fatalf("%d %s", a.status, a.body)
		}
		n++
	}
}
