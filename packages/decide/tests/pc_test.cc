#include "pc.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{
struct Vms
{
  std::vector<std::string> names, places;
  std::vector<pc_member> members;

  Vms (int data_centers, int each)
  {
    for (int d = 0; d < data_centers; d++)
      for (int i = 1; i <= each; i++)
        {
          places.push_back ("dc-" + std::to_string (d));
          names.push_back (places.back () + "-" + std::to_string (i));
        }
    for (size_t i = 0; i < names.size (); i++)
      members.push_back ({ { names[i].data (), names[i].size () },
                           { places[i].data (), places[i].size () } });
  }
  std::map<uint64_t, std::vector<size_t>>
  cells () const
  {
    std::map<uint64_t, std::vector<size_t>> found;
    for (size_t i = 0; i < members.size (); i++)
      found[pc_cell_of (members.data (), (uint32_t)members.size (),
                        &members[i])]
          .push_back (i);
    return found;
  }
};

TEST (Pc, ASmallDeploymentIsOneCell)
{
  EXPECT_EQ (Vms (3, 3).cells ().size (), 1u);
  EXPECT_EQ (Vms (3, 3).cells ().begin ()->first, 0u);
}

// Guards against messages that grow with the square of the fleet.
TEST (Pc, CellsStaySmallAndWithinADataCentre)
{
  for (int each : { 6, 10, 24, 60, 155 })
    {
      Vms vms (11, each);
      for (auto &cell : vms.cells ())
        {
          EXPECT_NE (cell.first, 0u);
          EXPECT_LE (cell.second.size (), 2u * PC_CELL_MAX) << each;
          for (size_t i : cell.second)
            EXPECT_EQ (vms.places[i], vms.places[cell.second[0]]);
        }
    }
}

// Guards against a cell that nobody speaks for, or all do.
TEST (Pc, EachCellHasItsSpeakers)
{
  Vms vms (6, 10);
  for (auto &cell : vms.cells ())
    {
      uint32_t speakers = 0;
      for (size_t i : cell.second)
        speakers += pc_is_speaker (vms.members.data (),
                                   (uint32_t)vms.members.size (),
                                   &vms.members[i], PC_SPEAKERS);
      EXPECT_EQ (speakers, (uint32_t)PC_SPEAKERS);
    }
}

// Guards against VMs that disagree because they learned of the others in
// another order.
TEST (Pc, TheOrderOfTheMembersDoesNotMatter)
{
  Vms vms (6, 10);
  std::vector<pc_member> turned (vms.members.rbegin (), vms.members.rend ());
  for (const pc_member &m : vms.members)
    {
      uint32_t n = (uint32_t)turned.size ();
      EXPECT_EQ (pc_cell_of (vms.members.data (), n, &m),
                 pc_cell_of (turned.data (), n, &m));
      EXPECT_EQ (pc_is_speaker (vms.members.data (), n, &m, 2),
                 pc_is_speaker (turned.data (), n, &m, 2));
    }
}

TEST (Pc, NumberedNamesKeepTheirOrder)
{
  EXPECT_LT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-10")), 0);
  EXPECT_GT (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-1")), 0);
  EXPECT_EQ (pc_compare_names (ST_LIT ("a-2"), ST_LIT ("a-2")), 0);
}
} // namespace
