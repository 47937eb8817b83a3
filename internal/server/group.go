//go:build !lean

package server

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/config"
	"birchfork/internal/coordinator"
	"birchfork/internal/engine"
	"birchfork/internal/gossip"
	"birchfork/internal/gossip/endpoints"
	"birchfork/internal/gossip/outliers"
)

// groupsSupported reports that this build can be a member of a group.
const groupsSupported = true

// bootMarkerFile is the name of the boot marker in the directory that sibling processes share, which does not survive a reboot.
const bootMarkerFile = "group.mark"

// goneWorkerRetention is how long a gone worker is reported to other members. A member that was cut off for longer has a new endpoint list
// by then.
const goneWorkerRetention = 15 * time.Minute

// gossipStates maps the states of listed workers to those that members report to each other.
var gossipStates = map[dispatch.WorkerState]endpoints.State{
	dispatch.Ready:    endpoints.Up,
	dispatch.Draining: endpoints.Draining,
	dispatch.Gone:     endpoints.Gone,
}

// checkGroupAvailable returns an error if this member could not take part in its group at present.
func (c *Config) checkGroupAvailable() error {
	group := c.group()
	if group == nil {
		return nil
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return coordinator.Check(coordinator.Options{Group: group, Self: c.Name, Log: log})
}

// joinGroup joins the group, if one is configured. The member's address and directory have to be available, unless a sibling is alive, which
// may use them.
func (s *Server) joinGroup() error {
	group := s.config.group()
	if group == nil {
		return nil
	}
	options := s.coordinatorOptions(group)
	if s.siblings.Load() == 0 {
		if err := coordinator.Check(options); err != nil {
			return err
		}
	}
	peers := peerNames(group, s.config.Name)
	overrides, err := gossip.New(gossip.Options{
		Group:         group.Name,
		Self:          s.config.Name,
		Dir:           group.DataDir,
		Peers:         peers,
		ApplyOverride: s.applyGroupOverride,
		SetOverride:   s.setOverride,
		Info:          s.memberInfo,
		Log:           options.Log,
	})
	if err != nil {
		return fmt.Errorf("group.folder: %w", err)
	}
	outlierReports := outliers.New(peers, s.engine.HandleOutlierReport)
	s.engine.OnOutlier(outlierReports.Report)
	endpointReports := endpoints.NewBroadcaster(peers, endpointSource{s.engine}, options.Log)
	options.TransportUsers = []coordinator.TransportUser{overrides, outlierReports, endpointReports}
	s.overrides = overrides
	s.groupCounters = []func() map[string]int64{overrides.Fields, outlierReports.Fields, endpointReports.Fields}
	s.coordinator = coordinator.Start(options)
	return nil
}

// coordinatorOptions returns the coordinator's options without the users of its transport.
func (s *Server) coordinatorOptions(group *config.Group) coordinator.Options {
	options := coordinator.Options{
		Group:       group,
		Self:        s.config.Name,
		Dispatcher:  s.engine,
		MaxDeadline: s.config.maxDeadline(),
		MaxDelivery: s.config.maxDelivery(),
		WarmUp:      s.config.warmUp(),
		Siblings: func() (alive int, newer bool) { // as of the sync loop's last check
			return int(s.siblings.Load()), s.newerSibling.Load()
		},
		Log: s.log.WithField("part", "group"),
	}
	if dir := s.process.Dir(); dir != "" {
		options.BootMarkerPath = filepath.Join(dir, bootMarkerFile)
	}
	return options
}

// peerNames returns the names of the other members.
func peerNames(group *config.Group, self string) []string {
	var names []string
	for _, member := range group.Members {
		if member.Name != self {
			names = append(names, member.Name)
		}
	}
	return names
}

// memberInfo describes this process to other members and operators.
func (s *Server) memberInfo() gossip.MemberInfo {
	c := s.currentConfig()
	return gossip.MemberInfo{
		Version:        buildRevision(),
		SettingsDigest: c.settingsDigest,
		OperatorDigest: c.Operator.Digest,
		StartedAt:      s.startedAt,
	}
}

// endpointSource adapts the engine's endpoint list to the interface endpoints.Source.
type endpointSource struct{ *engine.Engine }

// Statuses implements endpoints.Source.
func (e endpointSource) Statuses() (all []endpoints.Status, fresh bool) {
	workers, fresh := e.ListedWorkers(goneWorkerRetention)
	for _, worker := range workers {
		all = append(all, endpoints.Status{Name: worker.Name, StartedAt: worker.StartedAtMillis, State: gossipStates[worker.State]})
	}
	return all, fresh
}

// Revision implements endpoints.Source.
func (e endpointSource) Revision() uint64 { return e.EndpointsRevision() }

// WatchUptime implements endpoints.Source.
func (e endpointSource) WatchUptime() time.Duration { return e.WatchingFor() }
