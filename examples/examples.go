// Package examples embeds the configuration of two example deployments.
package examples

import "embed"

// Files has one directory of service and callers files for each deployment.
//
//go:embed swatch-guild rank-registry
var Files embed.FS
