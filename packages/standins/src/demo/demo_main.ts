/**
 * Demo: runs the services of both customers' deployments, scaled down, on this
 * machine, sends requests through two entry VMs and prints commands to try
 * next. Runs until Ctrl-C.
 */
import * as contracts from "@guavatide/contracts";
import * as plans from "../deployment/deployment_plan.ts";
import {
  LOCAL_OPERATOR_TOKEN,
  LocalDeployment,
} from "../deployment/local_deployment.ts";

const WAIT_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 200;

const PLAN: plans.DeploymentPlan = {
  ...plans.scalePlan(plans.KAYFA, { entryVms: 3, maxServersPerService: 4 }),
  otherPartners: [plans.BITACORA.partner],
  services: [...plans.KAYFA.services, ...plans.BITACORA.services]
    .map((service) => ({ ...service, servers: 4 })),
};

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function requestUntilAnswered(
  deployment: LocalDeployment,
  vm: string,
): Promise<Response> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  const url = `${deployment.callerUrl(vm)}/s/availability/slots`;
  while (true) {
    const response = await fetch(url, {
      headers: { [contracts.KEY_HEADER]: "booth-17" },
    });
    const isAnswered =
      response.headers.get(contracts.OUTCOME_HEADER) === "answered";
    if (isAnswered || Date.now() > deadline) return response;
    await response.text();
    await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
  }
}

function printNextSteps(deployment: LocalDeployment): void {
  const callers = deployment.callerUrl("entry-1");
  const metrics = deployment.metricsUrl("entry-1");
  printLine("Try next, in another shell:");
  printLine(
    `  curl -i -H 'guavatide-key: booth-17' ${callers}/s/availability/slots`,
  );
  printLine(`  curl -i -X POST -d '{}' ${callers}/s/reservations/bookings`);
  printLine(`  curl ${metrics}/metrics`);
  printLine("As an operator:");
  printLine(
    `  export GUAVATIDE_URL=${deployment.administrationUrl("entry-2")}`,
  );
  printLine(`  export GUAVATIDE_TOKEN=${LOCAL_OPERATOR_TOKEN}`);
  printLine("  npx guavatidectl get cost-share/availability-split");
  printLine(
    "  npx guavatidectl edit cost-share/availability-split --set " +
      `'shares=[{"partner":"kayfa","percent":60},` +
      `{"partner":"bitacora","percent":40}]'`,
  );
  printLine("  npx guavatidectl diff && npx guavatidectl publish");
  printLine("  npx guavatidectl drain availability-1 --reason 'new release'");
  printLine("  npx guavatidectl owners availability && npx guavatidectl moves");
}

async function main(): Promise<void> {
  const deployment = await LocalDeployment.start({ plan: PLAN });
  let isStopping = false;
  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    printLine("Stopping; requests in flight end first.");
    await deployment.stop();
    process.exit(0);
  };
  process.once("SIGINT", () => void stop());
  process.once("SIGTERM", () => void stop());
  printLine(
    `store and VM list: ${deployment.storeUrl} ${deployment.vmListUrl}`,
  );
  for (const [vm, entry] of deployment.entries) {
    printLine(`${vm} pid ${entry.program.pid}: ${deployment.callerUrl(vm)}`);
  }
  for (const vm of [...deployment.entries.keys()].slice(0, 2)) {
    const response = await requestUntilAnswered(deployment, vm);
    const outcome = response.headers.get(contracts.OUTCOME_HEADER);
    printLine(`GET /s/availability/slots for key booth-17 through ${vm}:`);
    printLine(
      `  status ${response.status}, ${outcome}: ${await response.text()}`,
    );
  }
  printNextSteps(deployment);
  printLine("Ctrl-C ends everything.");
}

await main();
