package operations

import (
	"fmt"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/replica"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// PluginName is the name of the plug-in, by which calls address it.
const PluginName = "operate"

// Service is the plug-in that answers operators' calls.
type Service struct {
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	// host manages the replicas of a core; it is nil on a node.
	host *replica.Host
	// zoneRegions maps the zones in the settings to their regions. It is empty if the settings list no zones.
	zoneRegions map[string]string
	// targetVoters is the number of voters that a rebuilt group should have.
	targetVoters int

	// The calls in flight, by call id.
	calls       map[uint64]*call
	rebuilds    map[uint64]*rebuildState
	statusCalls map[uint64]*statusCall
}

func init() {
	kernel.Register(kernel.Registration{Rank: 52, Roles: []string{settings.RoleNode, settings.RoleCore}, Make: newService})
}

func newService(k *kernel.Kernel) kernel.Plugin {
	return &Service{
		mesh:         kernel.Find[*mesh.Mesh](k),
		members:      kernel.Find[*membership.Members](k),
		configSync:   kernel.Find[*configsync.Sync](k),
		host:         kernel.Find[*replica.Host](k),
		zoneRegions:  k.Boot.Settings.Regions,
		targetVoters: k.Boot.Settings.Voters(),
		calls:        map[uint64]*call{},
		rebuilds:     map[uint64]*rebuildState{},
		statusCalls:  map[uint64]*statusCall{},
	}
}

// Name returns the plug-in's name.
func (s *Service) Name() string { return PluginName }

// Kinds returns the kinds of frames that the plug-in receives.
func (s *Service) Kinds() []uint8 {
	return []uint8{wire.KindEditReply, wire.KindRebuildReply, wire.KindStatusReply}
}

// Step handles one input.
func (s *Service) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Call:
		s.startCall(ctx, v)
	case kernel.Canceled:
		// An edit that was already sent may still be applied, but it is not sent again. A rebuild
		// continues; its steps are bounded and its answer is discarded.
		delete(s.calls, v.ID)
		delete(s.statusCalls, v.ID)
	case kernel.Tick:
		s.timer(ctx, v.ID)
	case replica.Replied:
		s.editReplied(ctx, v.ID, v.Reply)
	case kernel.Message:
		s.receive(ctx, v)
	}
}

// timer handles the timer of the call, rebuild or status call with that id.
func (s *Service) timer(ctx *kernel.Context, id uint64) {
	if rebuild := s.rebuilds[id]; rebuild != nil {
		s.rebuildTimer(ctx, id, rebuild)
		return
	}
	if status := s.statusCalls[id]; status != nil {
		s.finishStatus(ctx, id, status)
		return
	}
	s.attempt(ctx, id)
}

// receive decodes and handles a reply from another process. A reply that cannot be decoded is treated as lost.
func (s *Service) receive(ctx *kernel.Context, message kernel.Message) {
	switch message.Kind {
	case wire.KindRebuildReply:
		var reply wire.RebuildReply
		if wire.Decode(message.Body, &reply) == nil {
			s.rebuildReplied(ctx, message.ID, reply)
		}
	case wire.KindStatusReply:
		var reply wire.StatusReply
		if wire.Decode(message.Body, &reply) == nil {
			s.statusReplied(ctx, message.ID, reply)
		}
	default:
		var reply wire.EditReply
		if wire.Decode(message.Body, &reply) == nil {
			s.editReplied(ctx, message.ID, reply)
		}
	}
}

func (s *Service) startCall(ctx *kernel.Context, v kernel.Call) {
	c := &call{startedAt: ctx.Now}
	switch request := v.Request.(type) {
	case Rebuild:
		s.startRebuild(ctx, v.ID, request.Partition)
		return
	case ReadStatus:
		s.startStatus(ctx, v.ID)
		return
	case ReadRouting:
		c.answer = routingAnswer
		c.command = Submit{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpRead}, Timeout: request.Timeout}
	case ReadHistory:
		c.answer = historyAnswer
		c.command = Submit{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpHistory}}
	case Submit:
		if request.Edit.Op == wire.OpDrainZone && request.Edit.Name != "" && !s.zoneMayExist(request.Edit.Name, ctx.Now) {
			ctx.Reply(v.ID, unknownZone(request.Edit.Name))
			return
		}
		c.answer = func(result Result) any { return result }
		c.command = request
		if c.command.Edit.EditID == "" {
			c.command.Edit.EditID = fmt.Sprintf("%016x%016x", ctx.Rand.Uint64(), ctx.Rand.Uint64())
		}
	default:
		ctx.Reply(v.ID, Result{Reply: wire.EditReply{Code: wire.CodeInvalid}})
		return
	}
	s.calls[v.ID] = c
	s.attempt(ctx, v.ID)
}
