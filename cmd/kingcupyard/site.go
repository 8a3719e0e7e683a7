package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
	"github.com/kingcupyard/kingcupyard/platform"
)

// siteCommand runs one instance before a stand-in of the users' platform.
type siteCommand struct {
	access
	once bool
}

func (*siteCommand) Name() string { return "site" }
func (*siteCommand) Synopsis() string {
	return "run an instance before a stand-in of the users' platform"
}
func (*siteCommand) Usage() string {
	return "site [-Once]: run an instance before a stand-in of the users' platform, send it a call of each kind and print the answers\n"
}

func (c *siteCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "Once", false, "stop after the calls")
}

func (c *siteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	dir, err := os.MkdirTemp("", "kingcupyard-site")
	if err != nil {
		return c.fail(err)
	}
	defer os.RemoveAll(dir)
	s, err := site.Start(dir)
	if err != nil {
		return c.fail(err)
	}
	defer s.Close()
	settings, err := platform.LoadSettings(s.SettingsFile)
	if err != nil {
		return c.fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, end := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- newGateway(settings, zap.NewNop()).Run(running) }()
	failed := c.callAll(ctx, s)
	if failed == nil && !c.once {
		fmt.Printf("Callers=http://%s Host=%s Key=%s: Ctrl-C stops\n", s.CallersAddress, s.Host, s.Key)
		<-ctx.Done()
	}
	end()
	if err := <-done; err != nil {
		return c.fail(err)
	}
	if failed != nil {
		return c.fail(failed)
	}
	return subcommands.ExitSuccess
}

// siteReady bounds the time until the instance serves.
const siteReady = 10 * time.Second

// callAll sends a call of each kind, once the instance is ready.
func (c *siteCommand) callAll(ctx context.Context, s *site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, siteReady)
	defer cancel()
	for {
		if resp, err := http.Get("http://" + s.ReadyAddress + platform.ReadyPath); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the instance was not ready within %v", siteReady)
		case <-time.After(50 * time.Millisecond):
		}
	}
	for _, path := range []string{"/book/pickup", "/look/status", "/chat/question"} {
		if err := c.call(ctx, s, path); err != nil {
			return err
		}
	}
	return nil
}

func (c *siteCommand) call(ctx context.Context, s *site.Site, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.CallersAddress+path, strings.NewReader("hello"))
	if err != nil {
		return fmt.Errorf("build the call: %w", err)
	}
	req.Host = s.Host
	platform.SetCallerHeaders(req.Header, "call"+strings.ReplaceAll(path, "/", "-"), s.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the answer to %s: %w", path, err)
	}
	fmt.Printf("Path=%s Status=%d Body=%q\n", path, resp.StatusCode, body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: status %d", path, resp.StatusCode)
	}
	return nil
}
