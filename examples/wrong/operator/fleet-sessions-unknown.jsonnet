// wants: $.fleet.sessions.classes[0]: "tallies" stands there; "tallies" is not known; there are species-search
// wants: $.fleet.sessions.routes[0]: "fast" stands there; the settings or the file have none
// wants: $.fleet.sessions.premium[0]: "nort" stands there; "nort" is not known; is "north" meant?
// wants: $.fleet.sessions.slots_per_replica: 4 stands there; settings.fleet_size has 5 co-ordinators
(import 'fleet.libsonnet') + { fleet+: { sessions: {
  header: 'X-Session', classes: ['tallies'], routes: ['fast'], premium: ['nort'], slots_per_replica: 4,
} } }
