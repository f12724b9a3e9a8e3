// wants: $.fleet: limits.memory_mb gives 512 MB; a fleet needs 744, of which 552 beside the serving
(import 'fleet.libsonnet') + { fleet+: { sessions: {
  header: 'X-Session', classes: ['tally-submit'], slots_per_replica: 100, sessions_most: 500000,
} } }
