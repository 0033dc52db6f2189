package cmds

import (
	"github.com/spf13/cobra"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

// drainIntent is the record with which an operator drains an instance.
var drainIntent = intent{
	subject:  "instance",
	argument: "INSTANCE",
	example:  "atelier-3",
	key:      func(name string) state.Key { return state.DrainKey(state.InstanceName(name)) },
	encode: func(name string, edit state.Edit) ([]byte, error) {
		raw, err := wire.EncodeDrain(state.Drain{Instance: state.InstanceName(name), Edit: edit})
		if err != nil {
			return nil, err
		}
		_, err = wire.DecodeDrain(raw)
		return raw, err
	},
}

func drainCommand(s streams) *cobra.Command {
	return drainIntent.command(s, "drain", "Drain an instance: it gets no new work, and its agent exits when no flow is left",
		`Within seconds the instance gets no new flows and no new requests. Its agent asks callers to reconnect
elsewhere, finishes open requests, and exits when no flow is left. Draining an instance that is dead
declares that it will not return under this name.`, false)
}

func undrainCommand(s streams) *cobra.Command {
	return drainIntent.command(s, "undrain", "Cancel the drain of an instance",
		`The instance accepts work again if its agent is still running; otherwise the agent may be started again.`, true)
}
