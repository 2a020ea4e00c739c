// Package buildinfo names the build.
package buildinfo

// Version is the release this source belongs to; see CHANGELOG.md.
const Version = "0.1.0"
