// Package examples holds the service files of two example deployments.
package examples

import "embed"

// Files holds one directory for each deployment.
//
//go:embed swatch-guild rank-registry
var Files embed.FS
