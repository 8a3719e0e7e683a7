package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/gateway"
	"github.com/kingcupyard/kingcupyard/platform"
)

// settingsPoll is how often the settings file is read for a change that no
// signal tells of.
const settingsPoll = 2 * time.Second

// reload puts the settings file in force when it changes, with or without a
// SIGHUP. A file that is wrong changes nothing.
func reload(ctx context.Context, path string, g *gateway.Gateway, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	known, err := os.ReadFile(path)
	for {
		if err != nil {
			log.Warn("SettingsNotRead", zap.Error(err))
		}
		hangup := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangups:
			hangup = true
		}
		var raw []byte
		raw, err = os.ReadFile(path)
		if err != nil || bytes.Equal(raw, known) && !hangup {
			continue
		}
		known = raw
		settings, wrong := platform.LoadSettings(path)
		if wrong != nil {
			log.Warn("SettingsRefused", zap.Error(wrong))
			continue
		}
		log.Info("SettingsRead", zap.Bool("Hangup", hangup))
		g.Reload(settings)
	}
}
