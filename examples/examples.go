// Package examples holds the settings of two whole users: 11 entry processes each, their teams, and
// the deployment file that tells load tools about latencies and stand-ins.
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
