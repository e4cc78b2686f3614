package main

import (
	"github.com/alecthomas/kong"
)

// helpTexts are the help texts that are too long for a line of their struct's tags, by the names that these have for
// them: command or flags, and field.
var helpTexts = kong.Vars{
	"bench_changes": "Measure instead what a change of the agreed configuration at each such gap costs an " +
		"instance.",
	"bench_parts": "Compare instead the ways to share out a fleet's servers among its nodes, by balance, " +
		"movement and connections.",
	"bench_followers": "Measure instead how soon so many followers have a change, and what they cost a " +
		"member, by deltas and by whole versions.",
	"check_config": "Configuration whose classes and limits the descriptions are checked with; the " +
		"embedded default otherwise.",
	"cluster_at":       "Admin addresses of instances: the first that can be reached is asked.",
	"cluster_certs":    "Folder with the operator's certificate.",
	"cluster_operator": "The operator, by the name in the certificate's file.",
	"config_diff": "Show what a file would change; exits 1 if it would. Example: gateway config diff " +
		"fleet.toml",
	"config_apply": "Have the instances agree on what a file says. Example: gateway config apply " +
		"fleet.toml --why 'new tariff' --wait applied-everywhere",
	"apply_file": "The file: all that is to be agreed on. What it lacks is removed; members stay.",
	"apply_wait": "What to wait for: 'agreed', 'applied-everywhere' (at members and followers) or " +
		"'all-but-N', which leaves out up to N followers.",
	"members_add": "Add a member; it votes once it has caught up. It must run, see gateway init --join. " +
		"Example: gateway config members add 4 --raft 10.0.0.4:7101 --admin 10.0.0.4:7201",
	"members_replace": "Put a new member in the place of one, in one step: of one that is dead, say.",
	"init_adopt":      "The file was moved here and is the newest of its member: never an old copy.",
	"lab_ramp_off": "The instances take every server for warm: servers-replaced then shows one that is " +
		"pushed over.",
	"cli_lab": "Play a scenario: real instances on loopback between stand-in halls. Exits 0 only if " +
		"every rule was kept. Example: gateway lab --scenario mixed --for 20s --seed 7 --json",
	"cli_check": "Check descriptions (YAML, JSON) and configurations (TOML) without starting anything. " +
		"Example: gateway check deploy/booking.yaml deploy/gateway.toml",
	"cli_bench": "Measure CPU a request and requests a second beside httputil.ReverseProxy. Example: " +
		"gateway bench --for 3s --procs 1,2",
	"cli_certs": "Make the certificates with which instances know each other. Example: gateway certs " +
		"--cluster dodoma --members 1,2,3 --dir certs",
	"cli_init": "Make the file of a member of a cluster, once. Example: gateway init --config " +
		"gate-1.toml --new-cluster",
	"cli_run": "Run one instance until SIGTERM. SIGHUP reads its description again. Example: gateway " +
		"run --config deploy/gateway.toml",
	"stream_status": "Show which version each follower runs. Example: gateway stream status --watch",
	"stream_pin": "Have a follower stay at a version, or go up to it and stay there. Example: gateway " +
		"stream pin edge-7 41",
	"stream_explain": "Show why a follower does not run the newest version. Example: gateway stream explain " +
		"edge-7",
}
