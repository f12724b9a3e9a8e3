// wants: $.fleet.voters: 5 voters stands there; settings.fleet_size allows no more than 3 co-ordinators
(import 'fleet.libsonnet') + { config: '../../../deploy/counts.json' }
