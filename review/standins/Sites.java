package review;

import java.util.List;

/** The numbers of the small sites. */
final class Sites {
    private Sites() {}

    /** assafir-replays-casa; the last argument is the boot time of machines, in seconds. */
    static Deployment.Site casa(double bootS) {
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            teams.append(String.format(
                    "[[cluster.teams]]%nname = \"replaydesk-%02d\"%ncpus = 16.0%ncpus_max = 48.0%ngpus = 0.0%n"
                            + "gpus_max = 0.0%n",
                    i));
        }
        teams.append(String.format(
                "[[cluster.objectives]]%nkind = \"wait\"%nclass = \"clipserve\"%nwithin_s = 2.0%nshare = 0.85%n"
                        + "[[cluster.objectives]]%nkind = \"finished\"%nclass = \"reelcut\"%nwithin_s = 120.0%n"
                        + "share = 0.9%n"
                        + "[[cluster.objectives]]%nkind = \"guarantee\"%nwithin_s = 5.0%nshare = 0.85%n"));
        return new Deployment.Site(
                List.of("casa-nord", "rabat-agdal", "casa-nord"),
                List.of("casa-nord", "fes-medina", "rabat-agdal", "tanger-port"),
                250, 20, 5, 8, 2, 10, 30, "atlas4", 4, 8, bootS, teams.toString(), 0.264, 205, 1500, 4, 8);
    }

    /** salle-replays in its small form with three controllers; the machines are those of the protocol's example. */
    static Deployment.Site salle(double bootS) {
        String teams = String.format(
                "[[cluster.teams]]%nname = \"courtside\"%ncpus = 352.0%ncpus_max = 872.0%ngpus = 0.0%ngpus_max = 0.0%n"
                        + "[[cluster.teams]]%nname = \"nightedit\"%ncpus = 352.0%ncpus_max = 1048.0%ngpus = 0.0%n"
                        + "gpus_max = 0.0%n"
                        + "[[cluster.objectives]]%nkind = \"finished\"%nclass = \"quartercut\"%nwithin_s = 150.0%n"
                        + "share = 0.93%n"
                        + "[[cluster.objectives]]%nkind = \"guarantee\"%nwithin_s = 5.0%nshare = 0.95%n");
        return new Deployment.Site(
                List.of("marrakech-gueliz", "agadir-talborjt", "oujda-centre"),
                List.of("marrakech-gueliz", "agadir-talborjt", "oujda-centre"),
                200, 80, 3, 10, 1, 10, 40, "g8", 96, 768, bootS, teams, 0.44, 176, 700, 32, 48);
    }
}
