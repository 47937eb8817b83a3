//go:build !lean

package server

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/coordinator"
	"birchfork/internal/engine"
	"birchfork/internal/gossip"
	"birchfork/internal/gossip/endpoints"
	"birchfork/internal/gossip/outliers"
)

// groupsSupported says that this build has what groups need.
const groupsSupported = true

// memberInfo is what the others are told of this process.
func (s *Server) memberInfo() gossip.MemberInfo {
	c := s.currentConfig()
	return gossip.MemberInfo{Version: buildRevision(), SettingsDigest: c.settingsDigest, OperatorDigest: c.Operator.Digest, StartedAt: s.startedAt}
}

// buildRevision is the revision that this program was built from, as far as the build has noted it.
var buildRevision = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), 12)]
		}
	}
	return info.Main.Version
})

// perMemberKeys are the platform's settings that differ between dispatchers as they should.
var perMemberKeys = []string{"zone", "ordinal"}

// settingsDigest is the same for dispatchers that the platform tells the same.
func settingsDigest(raw json.RawMessage) string {
	var platform struct {
		Settings map[string]any `json:"settings"`
	}
	if json.Unmarshal(raw, &platform) != nil {
		return "" // Decode says so
	}
	for _, key := range perMemberKeys {
		delete(platform.Settings, key)
	}
	canonical, err := json.Marshal(platform.Settings) // keys in order
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(canonical))
}

// checkGroupAvailable tells why this configuration's place in its group cannot be taken now.
func (c *Config) checkGroupAvailable() error {
	group := c.group()
	if group == nil {
		return nil
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return coordinator.Check(coordinator.Options{Group: group, Self: c.Name, Log: log})
}

// endpointSource are the store's list as roster wants it.
type endpointSource struct{ *engine.Engine }

// goneWorkerRetention is how long others are told that a worker has gone: one that was away for longer has a list by then.
const goneWorkerRetention = 15 * time.Minute

// gossipStates are those of the list, in roster's order.
var gossipStates = map[dispatch.WorkerState]endpoints.State{dispatch.Ready: endpoints.Up, dispatch.Draining: endpoints.Draining, dispatch.Gone: endpoints.Gone}

func (e endpointSource) Statuses() (all []endpoints.Status, fresh bool) {
	workers, fresh := e.ListedWorkers(goneWorkerRetention)
	for _, worker := range workers {
		all = append(all, endpoints.Status{Name: worker.Name, StartedAt: worker.StartedAtMillis, State: gossipStates[worker.State]})
	}
	return all, fresh
}

func (e endpointSource) Revision() uint64           { return e.EndpointsRevision() }
func (e endpointSource) WatchUptime() time.Duration { return e.WatchingFor() }

// joinGroup takes part in the group, if there is one. Its address and folder have to be free, unless another process of this
// dispatcher may have them.
func (s *Server) joinGroup() error {
	group := s.config.group()
	if group == nil {
		return nil
	}
	options := coordinator.Options{
		Group: group, Self: s.config.Name, Dispatcher: s.engine, MaxDeadline: s.config.maxDeadline(), MaxDelivery: s.config.maxDelivery(),
		WarmUp: s.config.warmUp(), Log: s.log.WithField("part", "group"),
		Siblings: func() (int, bool) { return int(s.siblings.Load()), s.newerSibling.Load() }, // as of the last look: see share
	}
	if dir := s.process.Dir(); dir != "" {
		options.BootMarkerPath = filepath.Join(dir, "group.mark")
	}
	if s.siblings.Load() == 0 {
		if err := coordinator.Check(options); err != nil {
			return err
		}
	}
	var others []string
	for _, peer := range group.Members {
		if peer.Name != s.config.Name {
			others = append(others, peer.Name)
		}
	}
	overrides, err := gossip.New(gossip.Options{
		Group: group.Name, Self: s.config.Name, Dir: group.DataDir, Peers: others, ApplyOverride: s.applyGroupOverride, SetOverride: s.setOverride, Info: s.memberInfo,
		Log: s.log.WithField("part", "group"),
	})
	if err != nil {
		return fmt.Errorf("group.folder: %w", err)
	}
	outlierReports := outliers.New(others, s.engine.HandleOutlierReport)
	s.engine.OnOutlier(outlierReports.Report)
	endpointReports := endpoints.NewBroadcaster(others, endpointSource{s.engine}, s.log.WithField("part", "group"))
	s.overrides, options.TransportUsers = overrides, []coordinator.TransportUser{overrides, outlierReports, endpointReports}
	s.groupCounters = []func() map[string]int64{overrides.Fields, outlierReports.Fields, endpointReports.Fields}
	s.coordinator = coordinator.Start(options)
	return nil
}
