package wire

import (
	"time"

	"monsoonstep/core/coord/picks"
	"monsoonstep/core/proto/wire/wirepb"
)

// LoadToPB converts a load report to its protobuf message.
func LoadToPB(l picks.Load) *wirepb.Load {
	return &wirepb.Load{
		Running:       uint32(l.Running),
		Queued:        uint32(l.Queued),
		ServiceMicros: l.ServiceTime.Microseconds(),
	}
}

// LoadFromPB converts a protobuf message to a load report.
func LoadFromPB(pb *wirepb.Load) picks.Load {
	return picks.Load{
		Running:     int(pb.GetRunning()),
		Queued:      int(pb.GetQueued()),
		ServiceTime: time.Duration(pb.GetServiceMicros()) * time.Microsecond,
	}
}
