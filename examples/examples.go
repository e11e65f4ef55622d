// Package examples embeds the complete settings of two users: 11 entry processes each, their teams,
// and the deployment file, which describes latencies and stand-in servers to load tools.
//
// # Usage
//
//	text, err := examples.Files.ReadFile("khangai/deployment.ini")
package examples

import "embed"

// Files are the settings files, one folder for each user.
//
//go:embed khangai bakugaisma
var Files embed.FS
