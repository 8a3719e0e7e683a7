package roster

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

type listResponse struct {
	Sequence  uint64
	At        time.Time
	Instances []listed
}

type listed struct {
	Name        string
	Address     string
	PeerAddress string
	Service     string
	DataCentre  string
	Region      string
	State       string
	Generation  uint64
}

func (l listed) member() board.Member {
	state := board.MemberAlive
	if l.State == string(board.MemberLeaving) {
		state = board.MemberLeaving
	}
	return board.Member{
		Name: l.Name, PeerAddress: l.PeerAddress, DataCentre: l.DataCentre,
		Region: l.Region, Generation: l.Generation, State: state,
	}
}

func (l listed) server() board.Server {
	state := board.ServerLive
	if l.State != string(board.ServerLive) {
		state = board.ServerLeaving
	}
	return board.Server{
		Name: l.Name, Address: l.Address, Service: l.Service,
		DataCentre: l.DataCentre, Region: l.Region, State: state,
	}
}

type loadResponse struct {
	Server                 string
	At                     time.Time
	Sequence               uint64
	Generation             uint64
	StartedAt              time.Time
	Cold                   bool
	Running                int
	Waiting                int
	Concurrency            int
	ColdConcurrency        int
	FirstTokenMilliseconds float64
	Loaded                 []board.LoadedVersion
}

func (l loadResponse) report(received time.Time) board.LoadReport {
	return board.LoadReport{
		ReportedAt: l.At, ReceivedAt: received, Sequence: l.Sequence, Generation: l.Generation,
		StartedAt: l.StartedAt, Cold: l.Cold, Running: l.Running, Waiting: l.Waiting,
		Concurrency: l.Concurrency, ColdConcurrency: l.ColdConcurrency,
		TimeToFirstToken: time.Duration(l.FirstTokenMilliseconds * float64(time.Millisecond)),
		Loaded:           l.Loaded,
	}
}

func toMessage(server string, r board.LoadReport) *peer.ServerReport {
	return &peer.ServerReport{
		Server: server, AtUnixMilliseconds: r.ReportedAt.UnixMilli(), Sequence: r.Sequence,
		Generation: r.Generation, Cold: r.Cold, Running: int32(r.Running),
		Waiting: int32(r.Waiting), Concurrency: int32(r.Concurrency),
		ColdConcurrency:         int32(r.ColdConcurrency),
		FirstTokenMilliseconds:  r.TimeToFirstToken.Milliseconds(),
		StartedUnixMilliseconds: r.StartedAt.UnixMilli(),
		Loaded:                  lo.Map(r.Loaded, func(l board.LoadedVersion, _ int) string { return l.Model + "@" + l.Version }),
	}
}

func fromMessage(m *peer.ServerReport, received time.Time) board.LoadReport {
	return board.LoadReport{
		ReportedAt: time.UnixMilli(m.AtUnixMilliseconds).UTC(), ReceivedAt: received,
		Sequence: m.Sequence, Generation: m.Generation,
		StartedAt: time.UnixMilli(m.StartedUnixMilliseconds).UTC(), Cold: m.Cold,
		Running: int(m.Running), Waiting: int(m.Waiting), Concurrency: int(m.Concurrency),
		ColdConcurrency:  int(m.ColdConcurrency),
		TimeToFirstToken: time.Duration(m.FirstTokenMilliseconds) * time.Millisecond,
		Loaded: lo.Map(m.Loaded, func(s string, _ int) board.LoadedVersion {
			model, version, _ := strings.Cut(s, "@")
			return board.LoadedVersion{Model: model, Version: version}
		}),
	}
}
