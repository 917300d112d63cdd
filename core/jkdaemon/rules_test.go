package jkdaemon

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktimer"
)

// documentWithCapacity returns a configuration with the given entries of its capacity
// section.
func documentWithCapacity(t *testing.T, capacity string) *jkconfig.Document {
	t.Helper()
	follower := jkconfig.NewFollower(jkconfig.FollowerOptions{
		Client: acceptingPlatform(), Timer: jktimer.New(), Log: jklog.Discard(), IsWatcher: func() bool { return false }, Wait: time.Second,
	})
	editor := jkconfig.NewEditor(jkconfig.EditorOptions{
		Client: acceptingPlatform(), Timer: jktimer.New(), Log: jklog.Discard(), Follower: follower, Jitter: rand.New(rand.NewSource(1)).Float64,
	})
	_, err := editor.Apply(context.Background(), jkconfig.Edit{
		Section: "capacity", ID: "c1", Team: "site", Value: []byte(`{"owner":"site","entries":` + capacity + `}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return follower.Newest()
}

// acceptingPlatform returns a platform that accepts every write and stores nothing.
func acceptingPlatform() *jkplatform.Client {
	return &jkplatform.Client{
		Get: func(_ context.Context, key string) (jkplatform.Record, error) {
			return jkplatform.Record{}, &jkplatform.NotFoundError{Key: key}
		},
		Create: func(_ context.Context, key string, value []byte) (jkplatform.Record, error) {
			return jkplatform.Record{Key: key, Value: value, Version: 1}, nil
		},
		List: func(context.Context, string) ([]jkplatform.Record, error) { return nil, nil },
		Watch: func(context.Context, string, uint64, time.Duration) ([]jkplatform.Record, uint64, error) {
			return nil, 0, nil
		},
	}
}

// Guards against entries of the capacity section that have no effect.
func TestCapacitySettingsReachScheduler(t *testing.T) {
	doc := documentWithCapacity(t, `{"default":{"second_dispatch_ratio":0.01,"slow_factor":3,"retry_ratio":0.25,"max_wait":"7s"}}`)
	d := &Daemon{}
	o := d.queueOptions(doc)
	if o.SecondShare != 0.01 || o.SlowFactor != 3 {
		t.Errorf("got second share %v and slow factor %v", o.SecondShare, o.SlowFactor)
	}
	r := &rules{document: func() *jkconfig.Document { return doc }}
	if got := r.retryRatio(); got != 0.25 {
		t.Errorf("got retry ratio %v", got)
	}
	if got := r.home().MaxWait("any"); got != 7*time.Second {
		t.Errorf("got max wait %v", got)
	}
}
