// wants: $.squares.MA-01.shards: length 0 stands there; at least 1 is right
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [] } } }
