#include "cm.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

static dr_entry
engine (const std::string &name, const char *dc, const char *region,
        const char *model = "m1")
{
  dr_entry e;
  memset (&e, 0, sizeof e);
  e.kind = DR_ENGINE;
  st_name_set (&e.name, st_from_cstr (name.c_str ()));
  st_name_set (&e.data_center, st_from_cstr (dc));
  st_name_set (&e.region, st_from_cstr (region));
  st_name_set (&e.serves, st_from_cstr (model));
  e.slots = 8;
  return e;
}

static cm_member
member (const char *name, const char *dc, const char *region,
        bool leaving = false)
{
  cm_member m = {};
  m.name = m.incarnation = st_from_cstr (name);
  m.data_center = st_from_cstr (dc);
  m.region = st_from_cstr (region);
  m.leaving = leaving;
  return m;
}

class Cm : public testing::Test
{
protected:
  dr_directory *directory = dr_make ();
  cm_map *cm = cm_make ();
  void
  TearDown () override
  {
    cm_destroy (cm);
    dr_destroy (directory);
  }
  std::string
  owner (const char *cell)
  {
    const cm_cell *c = cm_find (cm, st_from_cstr (cell));
    return c != nullptr ? c->owner : "none";
  }
};

// Guards against two VMs that name different owners from the same lists.
TEST_F (Cm, OrderOfListsDoesNotMatter)
{
  std::vector<dr_entry> entries;
  for (int i = 0; i < 40; i++)
    entries.push_back (engine ("e" + std::to_string (i), "a", "r"));
  std::vector<cm_member> members;
  for (const char *n : { "v1", "v2", "v3", "v4" })
    members.push_back (member (n, "a", "r"));
  dr_set (directory, entries.data (), entries.size ());
  cm_update (cm, directory, members.data (), members.size ());
  std::map<std::string, std::string> before;
  for (size_t i = 0; i < cm_query_count (cm); i++)
    before[cm_query_at (cm, i)->name.text] = cm_query_at (cm, i)->owner;
  std::vector<dr_entry> reversed (entries.rbegin (), entries.rend ());
  std::vector<cm_member> others (members.rbegin (), members.rend ());
  dr_set (directory, reversed.data (), reversed.size ());
  EXPECT_FALSE (cm_update (cm, directory, others.data (), others.size ()));
  for (size_t i = 0; i < cm_query_count (cm); i++)
    EXPECT_EQ (before[cm_query_at (cm, i)->name.text],
               cm_query_at (cm, i)->owner);
}

// Guards against cells that grow with the fleet, and engines left out.
TEST_F (Cm, LargePoolIsSplitAndEveryEngineHasOneCell)
{
  std::vector<dr_entry> entries;
  for (int i = 0; i < 100; i++)
    entries.push_back (engine ("e" + std::to_string (i), "a", "r"));
  cm_member v = member ("v1", "a", "r");
  dr_set (directory, entries.data (), entries.size ());
  EXPECT_TRUE (cm_update (cm, directory, &v, 1));
  std::set<std::string> seen;
  for (size_t i = 0; i < cm_query_count (cm); i++)
    {
      const cm_cell *c = cm_query_at (cm, i);
      EXPECT_LE (c->engine_count, (uint32_t)CE_CELL_ENGINES_MAX);
      for (uint32_t e = 0; e < c->engine_count; e++)
        EXPECT_TRUE (seen.insert (c->engines[e].text).second);
    }
  EXPECT_EQ (seen.size (), 100u);
}

// Guards against a leaving VM that owns a cell, an owner in another data
// centre while the cell's own has a VM, and engines without an owner.
TEST_F (Cm, OwnerIsClosestAndNotLeaving)
{
  dr_entry e = engine ("e1", "a", "r1");
  dr_set (directory, &e, 1);
  std::vector<cm_member> members
      = { member ("v1", "a", "r1"), member ("v2", "b", "r1"),
          member ("v3", "c", "r2") };
  cm_update (cm, directory, members.data (), members.size ());
  EXPECT_EQ (owner ("a/m1/0"), "v1");
  members[0].leaving = true;
  EXPECT_TRUE (cm_update (cm, directory, members.data (), members.size ()));
  EXPECT_EQ (owner ("a/m1/0"), "v2");
  members[1].leaving = true;
  cm_update (cm, directory, members.data (), members.size ());
  EXPECT_EQ (owner ("a/m1/0"), "v3");
  cm_update (cm, directory, nullptr, 0);
  EXPECT_EQ (owner ("a/m1/0"), "");
}

// Guards against the death of one VM moving cells of the others.
TEST_F (Cm, OnlyCellsOfTheDeadOwnerMove)
{
  std::vector<dr_entry> entries;
  for (int i = 0; i < 60; i++)
    entries.push_back (engine ("e" + std::to_string (i), "a", "r"));
  std::vector<cm_member> members;
  for (const char *n : { "v1", "v2", "v3", "v4" })
    members.push_back (member (n, "a", "r"));
  dr_set (directory, entries.data (), entries.size ());
  cm_update (cm, directory, members.data (), members.size ());
  std::map<std::string, std::string> before;
  for (size_t i = 0; i < cm_query_count (cm); i++)
    before[cm_query_at (cm, i)->name.text] = cm_query_at (cm, i)->owner;
  members.erase (members.begin () + 1);
  cm_update (cm, directory, members.data (), members.size ());
  for (size_t i = 0; i < cm_query_count (cm); i++)
    {
      const cm_cell *c = cm_query_at (cm, i);
      if (before[c->name.text] != "v2")
        EXPECT_EQ (before[c->name.text], c->owner);
      else
        EXPECT_STRNE (c->owner, "v2");
    }
}
