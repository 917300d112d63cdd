// Package jkserve runs one stand-in as a process: it writes the address to standard
// output and stops gracefully on SIGTERM or SIGINT.
package jkserve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// stopTimeout bounds the wait for requests in flight at a stop.
const stopTimeout = 10 * time.Second

// Ready is the JSON line on standard output once the stand-in accepts connections.
type Ready struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// Run serves a handler on a loopback address until SIGTERM or SIGINT.
func Run(address string, handler http.Handler, timer *jktimer.Service, logger jklog.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return Serve(ctx, address, handler, timer, logger, os.Stdout)
}

// Serve serves a handler on a loopback address until ctx ends, and writes the ready
// line to out.
func Serve(ctx context.Context, address string, handler http.Handler, timer *jktimer.Service, logger jklog.Logger, out io.Writer) error {
	if err := checkLoopback(address); err != nil {
		return err
	}
	server, err := jkstandin.Serve(address, handler, timer)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(Ready{Ready: true, Address: server.Address()}); err != nil {
		return eris.Wrap(err, "write ready line")
	}
	logger.Info("listening", "address", server.Address())
	<-ctx.Done()
	logger.Info("stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(stopCtx), "shut down server")
}

// checkLoopback refuses addresses that other machines can reach, because a stand-in
// executes every request that it receives.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsLoopback() {
		return nil
	}
	return fmt.Errorf("address: got %q, allowed: a loopback IP address with a port", address)
}
