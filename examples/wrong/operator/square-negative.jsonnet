// wants: $.squares.MA-01.shards[0]: -1 stands there; at least 0 is right
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [-1] } } }
