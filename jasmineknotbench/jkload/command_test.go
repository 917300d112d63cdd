package jkload

import (
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

// Guards against a flag that panics while it is parsed, such as a map flag without
// an allocated map.
func TestFlagsParse(t *testing.T) {
	app := kingpin.New("test", "")
	Register(app)
	_, err := app.ParseContext([]string{"load", "--entry", "http://127.0.0.1:1", "--service", "a=http://127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	c := &command{options: DefaultOptions()}
	c.options.Services = map[string]string{}
	cmd := kingpin.New("test", "")
	c.addRunFlags(cmd.Command("load", ""))
	if _, err := cmd.Parse([]string{"load", "--entry", "http://127.0.0.1:1", "--service", "a=http://127.0.0.1:2"}); err != nil {
		t.Fatal(err)
	}
	if c.options.Services["a"] != "http://127.0.0.1:2" {
		t.Fatalf("got %v", c.options.Services)
	}
}
