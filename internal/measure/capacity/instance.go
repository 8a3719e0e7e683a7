package capacity

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/request"
	"github.com/kingcupyard/kingcupyard/internal/platform/roster"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// instance is the control plane of one instance.
type instance struct {
	self   board.Member
	board  *board.Board
	editor *distribution.Editor
	stop   func()
}

// startInstance runs a control plane on a listener of its own.
func (f *fleet) startInstance(name, dataCentre, region string) (*instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	in := &instance{
		self:  board.Member{Name: name, DataCentre: dataCentre, Region: region, PeerAddress: listener.Addr().String()},
		board: &board.Board{},
	}
	storeClient := store.New(f.storeAddress, store.WithDial(f.storeTraffic.dialContext), store.WithMembers(func() int {
		if m := in.board.Members.Get(); m != nil {
			return len(m.List)
		}
		return 1
	}))
	loss := lossy{traffic: &f.peerTraffic, share: f.settings.Loss, mu: &sync.Mutex{}, rng: rand.New(rand.NewPCG(f.seed(), 2))}
	peers := peer.NewClient(peer.WithDial(f.peerTraffic.dialContext), peer.WithRoundTripper(func(t http.RoundTripper) http.RoundTripper {
		l := loss
		l.RoundTripper = t
		return l
	}))
	lists := request.New(request.WithDial(f.listTraffic.dial))
	members := member.New(in.self, in.board, peers)
	spread := distribution.New(name, dataCentre, in.board, storeClient, peers)
	servers := roster.New(name, f.listAddress, in.board, lists, roster.WithPeers(peers))
	in.editor = distribution.NewEditor(spread, storeClient)
	server := peer.NewServer(
		peer.WithHeartbeatHandler(members), peer.WithConfigurationHandler(spread), peer.WithReportsHandler(servers), peer.WithListingHandler(servers),
	).HTTPServer()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	for _, run := range []func(context.Context) error{members.Run, spread.Run, servers.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	in.stop = func() {
		cancel()
		_ = server.Close()
		wg.Wait()
		peers.Close()
		storeClient.Close()
		lists.Close()
	}
	return in, nil
}
