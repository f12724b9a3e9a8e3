// wants: $.placement.holders_least: 4 stands there; not so for shards 0, 1
{ version: 1, config: '../../../deploy/counts.json', placement: { holders_least: 4 } }
