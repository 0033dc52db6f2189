package cmds

import (
	"github.com/spf13/cobra"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

// evacuationIntent is the record with which an operator evacuates a data centre.
var evacuationIntent = intent{
	subject:  "data centre",
	argument: "DATACENTRE",
	example:  "port-louis-1",
	key:      func(name string) state.Key { return state.EvacuationKey(state.DataCentre(name)) },
	encode: func(name string, edit state.Edit) ([]byte, error) {
		return wire.EncodeEvacuation(state.Evacuation{DataCentre: state.DataCentre(name), Edit: edit})
	},
}

func evacuateCommand(s streams) *cobra.Command {
	return evacuationIntent.command(s, "evacuate", "Evacuate a data centre: its targets get no new work, and its agents keep running",
		`Within seconds the targets in the data centre get no new flows and no new requests. Open flows and running
requests continue, and new requests on the open flows run at targets in other data centres. The agents
there don't exit, and balancers there continue to forward packets.

If all data centres with targets of a service are evacuated, its requests are refused as not run, with
Retry-After. The evacuation stays in force until unevacuate, also for agents that start later. Repeating
the command changes nothing. The name is that of dataCentre in the settings of the agents; a name that
no agent has is accepted and has no effect.`, false)
}

func unevacuateCommand(s streams) *cobra.Command {
	return evacuationIntent.command(s, "unevacuate", "Cancel the evacuation of a data centre",
		`Within seconds the targets in the data centre get new flows and requests again. Repeating the command, or
cancelling an evacuation that was not ordered, changes nothing.`, true)
}
