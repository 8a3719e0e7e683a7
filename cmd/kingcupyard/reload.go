package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/console/hangup"
	"github.com/kingcupyard/kingcupyard/internal/fleet/gateway"
	"github.com/kingcupyard/kingcupyard/platform"
)

// settingsPoll is how often the settings file is read for a change that no
// signal tells of.
const settingsPoll = 2 * time.Second

// reload puts the settings file in force when it changes, with or without a
// SIGHUP. A file that is wrong changes nothing.
func reload(ctx context.Context, path string, g *gateway.Gateway, log *zap.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	known, err := os.ReadFile(path)
	for {
		if err != nil {
			log.Warn("SettingsNotRead", zap.Error(err))
		}
		hungUp := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangup.Signals():
			hungUp = true
		}
		var raw []byte
		raw, err = os.ReadFile(path)
		if err != nil || bytes.Equal(raw, known) && !hungUp {
			continue
		}
		known = raw
		settings, wrong := platform.LoadSettings(path)
		if wrong != nil {
			log.Warn("SettingsRefused", zap.Error(wrong))
			continue
		}
		log.Info("SettingsRead", zap.Bool("Hangup", hungUp))
		g.Reload(settings)
	}
}
