// wants: $.squares.MA-01.shards: is missing; a list belongs there
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': {} } }
