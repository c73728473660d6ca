#include "support.hh"

using namespace support;

namespace
{
// A gateway with one upstream in the west and one in the east, of one slot
// each, and routes that are at home in one of the regions.
class Regions : public testing::Test
{
protected:
  Gateway g{ 0 };

  void
  SetUp () override
  {
    for (const char *region : { "west", "east" })
      {
        g.upstreams.push_back (std::make_unique<Upstream> (g.base));
        ut_entry e = {};
        st_name_set (&e.id, st_from_cstr (region));
        st_name_set (&e.service, ST_LIT ("plain"));
        st_name_set (&e.address, str (g.upstreams.back ()->address ()));
        st_name_set (&e.data_center, st_from_cstr (region));
        st_name_set (&e.region, st_from_cstr (region));
        e.slots = 1;
        e.started_ms = 1;
        gw_put_upstream (g.gw, &e);
      }
    configure (2, "west");
  }
  // ROUTE_REGION is that of the route /home/.
  void
  configure (uint64_t version, const char *route_region)
  {
    g.configure (version, [route_region] (rc_config *c) {
      const struct
      {
        const char *prefix, *region;
      } routes[] = { { "/home/", route_region },
                     { "/east/", "east" },
                     { "/any/", nullptr } };
      for (auto &row : routes)
        {
          rc_route *r = rc_add_route (c, ST_LIT ("api.example"),
                                      st_from_cstr (row.prefix));
          r->name = st_from_cstr (row.prefix);
          r->kind = RC_NON_IDEMPOTENT;
          r->timeout_ms = 4000;
          r->target_ms = 3000;
          rc_add_weighted_service (c, r, ST_LIT ("plain"), 1);
          if (row.region != nullptr)
            rc_add_region (c, &r->regions, st_from_cstr (row.region));
        }
      rc_team *team = rc_add_team (c, ST_LIT ("west-only"));
      rc_add_key (c, team, ST_LIT ("key-west"));
      rc_add_region (c, &team->regions, ST_LIT ("west"));
    });
  }
  std::unique_ptr<Caller>
  send (const std::string &id, const std::string &path,
        const std::string &key = "key-1")
  {
    auto c = g.caller ();
    c->send ("POST " + path + "x HTTP/1.1\r\nHost: api.example\r\nX-Id: " + id
             + "\r\nAuthorization: Token " + key
             + "\r\nContent-Length: 0\r\n\r\n");
    return c;
  }
  uint32_t
  runs (size_t upstream, const std::string &id) const
  {
    auto &of = g.upstreams[upstream]->runs_of;
    return of.count (id) != 0 ? of.at (id) : 0;
  }
};

// Guards against a request that waits for its full home region and stops one
// behind it that may be served elsewhere, or leaves that region itself.
TEST_F (Regions, AFullRegionStopsOnlyItsOwnRequests)
{
  g.up (0).behaviours.push_back (Silent);
  auto blocks = send ("blocks", "/home/");
  EXPECT_TRUE (g.run ([&] { return runs (0, "blocks") == 1; }));
  auto waits = send ("waits", "/home/");
  g.wait (50);
  auto east = send ("east", "/east/");
  auto any = send ("any", "/any/");
  EXPECT_TRUE (g.run ([&] { return east->complete () && any->complete (); }));
  EXPECT_EQ (east->status (), 200) << east->received;
  EXPECT_EQ (any->status (), 200) << any->received;
  EXPECT_EQ (runs (1, "east") + runs (1, "any"), 2u);
  EXPECT_EQ (runs (0, "waits") + runs (1, "waits"), 0u);
  blocks.reset ();
  EXPECT_TRUE (g.run ([&] { return waits->complete (); }));
  EXPECT_EQ (runs (0, "waits"), 1u);
}

// Guards against waiting work that goes by the regions of an old
// configuration.
TEST_F (Regions, AChangeAppliesToWhatWaits)
{
  g.up (0).behaviours.push_back (Silent);
  auto blocks = send ("blocks", "/home/");
  EXPECT_TRUE (g.run ([&] { return runs (0, "blocks") == 1; }));
  auto waits = send ("waits", "/home/");
  g.wait (50);
  configure (3, "east");
  EXPECT_TRUE (g.run ([&] { return waits->complete (); }));
  EXPECT_EQ (waits->status (), 200) << waits->received;
  EXPECT_EQ (runs (1, "waits"), 1u);
}

// Guards against a route and a team of which only one binds: without a common
// region the request is refused and has not run.
TEST_F (Regions, RouteAndTeamBothBind)
{
  auto none = send ("none", "/east/", "key-west");
  EXPECT_TRUE (g.run ([&] { return none->complete (); }));
  EXPECT_EQ (none->status (), 503) << none->received;
  EXPECT_TRUE (none->has ("no_common_region"));
  auto west = send ("west", "/any/", "key-west");
  EXPECT_TRUE (g.run ([&] { return west->complete (); }));
  EXPECT_EQ (west->status (), 200) << west->received;
  EXPECT_EQ (runs (0, "west"), 1u);
  EXPECT_EQ (runs (0, "none") + runs (1, "none"), 0u);
}

// Guards against requests that reach a data centre after its evacuation, also
// when nothing else serves them.
TEST_F (Regions, AnEvacuatedDataCentreGetsNothing)
{
  gw_set_evacuated (g.gw, ST_LIT ("west"), true);
  auto any = send ("any", "/any/");
  EXPECT_TRUE (g.run ([&] { return any->complete (); }));
  EXPECT_EQ (runs (1, "any"), 1u);
  auto home = send ("home", "/home/");
  g.wait (300);
  EXPECT_EQ (runs (0, "home"), 0u);
  gw_set_evacuated (g.gw, ST_LIT ("west"), false);
  EXPECT_TRUE (g.run ([&] { return home->complete (); }));
  EXPECT_EQ (home->status (), 200) << home->received;
  EXPECT_EQ (runs (0, "home"), 1u);
}
} // namespace
