package jkconfig_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

func ExampleEditor_Apply() {
	timer := jktimer.New()
	server := httptest.NewServer(jkstandin.NewPlatform(timer, jkstandin.PlatformLimits{}))
	defer server.Close()
	client := jkplatform.NewHTTP(server.URL, server.Client())
	follower := jkconfig.NewFollower(jkconfig.FollowerOptions{
		Client: client, Timer: timer, Log: jklog.Discard(), Wait: 30 * time.Second,
	})
	editor := jkconfig.NewEditor(jkconfig.EditorOptions{
		Client: client, Timer: timer, Log: jklog.Discard(), Follower: follower,
	})
	result, err := editor.Apply(context.Background(), jkconfig.Edit{
		ID: "edit-1", Team: "money", Section: jkconfig.SectionBudgets, Base: 0,
		Value: []byte(`{"owner": "money", "entries": {"hotel": {"tokens": 1000, "window": "24h"}}}`),
	})
	budget, _ := follower.Newest().Budget("hotel")
	fmt.Println(result.Revision, err, budget.Tokens(), budget.Window())
	// Output: 1 <nil> 1000 24h0m0s
}
