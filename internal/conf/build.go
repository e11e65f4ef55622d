package conf

func buildProcess(_ *report, _ document) Process       { return Process{} }
func buildTeam(_ *report, _ string, _ document) Team   { return Team{} }
func buildDeployment(_ *report, _ document) Deployment { return Deployment{} }
