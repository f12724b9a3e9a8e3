// wants: lies outside of the file's own folder
local x = import '../../../deploy/squares.libsonnet'; { version: 1, config: '../../../deploy/counts.json', squares: x.squares }
